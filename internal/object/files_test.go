package object_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/object"
	"peridotgw.example/peridotgw/model"
)

// writeFile writes a file and returns its path.
func writeFile(dir, name, text string) string {
	path := filepath.Join(dir, name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

var _ = Describe("object files", func() {
	// Guards against files that are skipped, and against other files that are read as objects.
	It("reads a directory as one list, without files of other kinds", func() {
		dir := GinkgoT().TempDir()
		writeFile(dir, "b.json", `[{"kind":"customer","name":"parks","spec":{}}]`)
		writeFile(dir, "a.jsonc",
			"[\n// a shape\n{\"kind\":\"shape\",\"name\":\"one\",\"spec\":{\"tasks\":1,\"accelerators-per-task\":1,\"adjacency\":\"any\",},},]")
		writeFile(dir, "notes.txt", "no objects")
		files, err := object.Load(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(files.Objects).To(HaveLen(2))
		set, err := files.Set()
		Expect(err).NotTo(HaveOccurred())
		Expect(set.Shapes).To(HaveKeyWithValue(model.ShapeID("one"), model.Shape{Tasks: 1, AcceleratorsPerTask: 1, Adjacency: "any"}))
	})

	// Guards against mistakes in files that the system would reject later without a position, or not detect.
	DescribeTable("refuses a file, with line and field", func(text, want string) {
		_, err := object.Load(writeFile(GinkgoT().TempDir(), "x.json", text))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("unknown kind", "[\n{\"kind\":\"team\",\"name\":\"a\",\"spec\":{}}]", `x.json:2:9: [0].kind: "team" is not a kind`),
		Entry("missing name", "[\n{\"kind\":\"customer\",\"spec\":{}}]", "x.json:2:1: [0].name: the field is required"),
		Entry("missing spec", "[\n{\"kind\":\"customer\",\"name\":\"a\"}]", "x.json:2:1: [0].spec: the field is missing"),
		Entry("unknown field of a spec",
			"[{\"kind\":\"customer\",\"name\":\"a\",\n\"spec\":{\"quota\":1}}]",
			"x.json:2:9: [0].spec.quota: the field does not exist"),
		Entry("wrong type inside a list",
			"[{\"kind\":\"data-centre\",\"name\":\"a\",\"spec\":{\"racks\":[\n{\"workers\":\"6\"}]}}]",
			"x.json:2:12: [0].spec.racks[0].workers: a whole number"),
		Entry("duration without unit",
			"[{\"kind\":\"request-class\",\"name\":\"a\",\"spec\":{\"timeout\":5}}]", "[0].spec.timeout: duration 5 is not a string"),
		Entry("object given twice",
			"[{\"kind\":\"customer\",\"name\":\"a\",\"spec\":{}},\n{\"kind\":\"customer\",\"name\":\"a\",\"spec\":{}}]",
			"x.json:2:27: [1].name: customer \"a\" is given in"),
		Entry("no list", "{}", "a list is expected"),
		Entry("revision, which only the system assigns",
			`[{"kind":"customer","name":"a","revision":3,"spec":{}}]`, "[0].revision: the field does not exist"),
	)

	// Guards against a first bad file that hides the problems of the others.
	It("reports the problems of all files at once", func() {
		dir := GinkgoT().TempDir()
		_, err := object.Load(writeFile(dir, "a.json", `[{"kind":"team"}]`), writeFile(dir, "b.json", `{`))
		Expect(err).To(MatchError(And(ContainSubstring("a.json:1:"), ContainSubstring("b.json:1:"))))
	})

	// Guards against a wrong directory that is published as an empty configuration.
	It("refuses a directory without objects, because publishing nothing is a mistake", func() {
		_, err := object.Load(GinkgoT().TempDir())
		Expect(err).To(MatchError(ContainSubstring("has no file")))
	})

	// Guards against a problem between objects that is lost or that names the wrong place.
	It("gives a problem of the whole set the position of its field", func() {
		files, err := object.Load(writeFile(GinkgoT().TempDir(), "g.json",
			"[{\"kind\":\"guarantee\",\"name\":\"g\",\"spec\":{\"customer\":\"a\",\n\"shape\":\"none\"}}]"))
		Expect(err).NotTo(HaveOccurred())
		err = files.LocateProblems([]model.Problem{
			{Kind: model.KindGuarantee, Name: "g", Field: "shape", Message: "shape does not exist"},
			{Kind: model.KindCustomer, Name: "b", Message: "elsewhere"},
		})
		Expect(err).To(MatchError(And(
			ContainSubstring(`g.json:2:9: [0].spec.shape: guarantee "g": shape: shape does not exist`),
			ContainSubstring(`configuration:customer "b": elsewhere`))))
	})
})
