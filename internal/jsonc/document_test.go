package jsonc_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/jsonc"
)

// sample is the target of decoding; Other has no name in files.
type sample struct {
	Name  string          `json:"name"`
	Count *int            `json:"count"`
	Small int8            `json:"small"`
	Raw   json.RawMessage `json:"raw"`
	List  []sample        `json:"list"`
	Other int
}

// decodeError returns the text of the error of decoding a sample, or an empty string.
func decodeError(text string) string {
	document, err := jsonc.Parse("f", []byte(text))
	if err == nil {
		document.Decode(&sample{})
		err = document.Err()
	}
	if err == nil {
		return ""
	}
	return err.Error()
}

var _ = Describe("document", func() {
	// Guards against comments or trailing commas that reach encoding/json, and against defaults that are lost.
	It("decodes values, and keeps what a file leaves out", func() {
		document, err := jsonc.Parse("f", []byte("/* c */ {\"count\": 2, \"raw\": {\"a\": [1,], /* c */}, \"list\": [{\"name\": \"x\"}],}"))
		Expect(err).NotTo(HaveOccurred())
		got := sample{Name: "kept"}
		document.Decode(&got)
		Expect(document.Err()).NotTo(HaveOccurred())
		Expect(got.Name).To(Equal("kept"))
		Expect(*got.Count).To(Equal(2))
		Expect(string(got.Raw)).To(Equal(`{"a":[1]}`))
		Expect(got.List[0].Name).To(Equal("x"))
	})

	// Guards against a value that is dropped or truncated without an error.
	DescribeTable("refuses", func(text, want string) {
		Expect(decodeError(text)).To(ContainSubstring(want))
	},
		Entry("a number that does not fit", `{"small": 300}`, "f:1:11: small: a whole number in range is expected, not 300"),
		Entry("a fraction", `{"count": 1.5}`, "not 1.5"),
		Entry("a name in another case, which encoding/json accepts", `{"Name": "x"}`, "Name: the field does not exist"),
		Entry("a field without a name in files", `{"Other": 1}`, "does not exist"),
		Entry("an object in place of a list", `{"list": {}}`, "a list is expected, not an object"),
		Entry("text after the value", `{} {}`, "f:1:4"),
		Entry("an unfinished comment", "{}\n/* c", "f:2:"),
		Entry("an empty file", "", "unexpected EOF"),
		Entry("nesting that would end the process", strings.Repeat("[", 1<<20), "more than 1000 brackets"),
	)

	// Guards against columns in bytes, which point to the wrong place after a non-ASCII character.
	It("counts columns in characters, as editors do", func() {
		Expect(decodeError(`{"name": "é", "x": 1}`)).To(HavePrefix("f:1:15: x"))
	})

	// Guards against a wrong path that exhausts the memory.
	It("refuses a file that is too large before it is parsed", func() {
		path := filepath.Join(GinkgoT().TempDir(), "f")
		Expect(os.WriteFile(path, []byte(strings.Repeat(" ", jsonc.MaxFileBytes+1)), 0o600)).To(Succeed())
		_, err := jsonc.Open(path)
		Expect(err).To(MatchError(ContainSubstring("larger than")))
	})

	// Guards against settings that mean something else here than in other JSON decoders.
	It("accepts and refuses the same values as encoding/json, whatever the text", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			value := rapid.OneOf(
				rapid.StringMatching(`-?[0-9]{1,4}(\.[0-9])?(e[0-9])?`), rapid.StringMatching(`"[a-z\\nu0-9]{0,6}"`),
				rapid.SampledFrom([]string{"true", "[]", "{}", `[{"small":1}]`, `""`}),
			).Draw(t, "value")
			field := rapid.SampledFrom([]string{"name", "count", "small", "list", "raw"}).Draw(t, "field")
			text := `{"` + field + `":` + value + `}`
			var want, got sample
			wantErr := json.Unmarshal([]byte(text), &want)
			document, err := jsonc.Parse("f", []byte(text))
			if err == nil {
				document.Decode(&got)
				err = document.Err()
			}
			if (wantErr == nil) != (err == nil) {
				t.Fatalf("%s: encoding/json: %v; jsonc: %v", text, wantErr, err)
			}
			var jsoncErr *jsonc.Error
			if err != nil && !errors.As(err, &jsoncErr) {
				t.Fatalf("%s: error of type %T", text, err)
			}
			if err == nil && want.Name != got.Name {
				t.Fatalf("%s: %q and %q", text, want.Name, got.Name)
			}
		})
	})
})
