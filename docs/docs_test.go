package docs_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/params"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

func page(name string) string {
	text, err := os.ReadFile(name)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// constants returns the values of the string constants of a file whose names start with prefix.
func constants(file, prefix string) []string {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	Expect(err).NotTo(HaveOccurred())
	var values []string
	ast.Inspect(parsed, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if ok && strings.HasPrefix(spec.Names[0].Name, prefix) && len(spec.Values) == 1 {
			value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			Expect(err).NotTo(HaveOccurred())
			values = append(values, value)
		}
		return true
	})
	Expect(values).NotTo(BeEmpty())
	return values
}

// fields returns the path of each field of a struct with its value, as the settings and objects write them.
func fields(prefix string, value reflect.Value) map[string]any {
	all := map[string]any{}
	for i := range value.NumField() {
		name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		if name == "-" {
			continue
		}
		field := value.Field(i)
		switch {
		case field.Kind() == reflect.Struct:
			for path, inner := range fields(prefix+name+".", field) {
				all[path] = inner
			}
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			for path, inner := range fields(prefix+name+"[].", reflect.New(field.Type().Elem()).Elem()) {
				all[path] = inner
			}
		default:
			all[prefix+name] = field.Interface()
		}
	}
	return all
}

// Each spec guards against a page that leaves out what was added to the code, or states another value.
var _ = Describe("pages", func() {
	It("list every outcome and reason with its status for callers", func() {
		text := page("callers.md")
		for _, outcome := range constants("../reply/reply.go", "Outcome") {
			Expect(text).To(ContainSubstring("| `%s` | ", outcome))
		}
		for _, reason := range constants("../reply/reply.go", "Reason") {
			refused := (&reply.Error{Outcome: reply.OutcomeRefused, Reason: reply.Reason(reason)}).Status()
			Expect(text).To(Or(
				ContainSubstring("| `%s` | %d |", reason, refused),
				ContainSubstring("| `%s` | 502 |", reason), ContainSubstring("| `%s` | 504 |", reason)))
		}
	})

	It("list every setting with its default", func() {
		text := page("OPERATIONS.md")
		for path, value := range fields("", reflect.ValueOf(*params.Default())) {
			written := fmt.Sprintf("`%v`", value)
			if written == "``" || strings.HasPrefix(path, "operators") {
				written = "required"
			}
			if strings.HasPrefix(path, "advertise.") {
				written = strings.Replace("`"+path+"`", "advertise", "listen", 1)
			}
			Expect(text).To(ContainSubstring("| `%s` | %s |", path, written))
		}
	})

	It("list every field of every kind of object", func() {
		text := page("OPERATIONS.md")
		for kind, value := range map[model.Kind]any{
			model.KindDataCentre: model.DataCentre{}, model.KindCustomer: model.Customer{}, model.KindShape: model.Shape{},
			model.KindGuarantee: model.Guarantee{}, model.KindJobClass: model.JobClass{}, model.KindRequestClass: model.RequestClass{},
		} {
			_, section, found := strings.Cut(text, "\n### "+string(kind)+"\n")
			Expect(found).To(BeTrue(), string(kind))
			section, _, _ = strings.Cut(section, "\n#")
			for path := range fields("", reflect.ValueOf(value)) {
				Expect(section).To(ContainSubstring("`%s`", path), string(kind))
			}
		}
	})

	It("list every shared metric", func() {
		text := page("OPERATIONS.md")
		// Vectors without a value are not gathered, so the names come from the source.
		parts := strings.Split(page("../internal/metric/metric.go"), `set.Counter("`)
		Expect(len(parts)).To(BeNumerically(">", 1))
		for _, part := range parts[1:] {
			name, _, _ := strings.Cut(part, `"`)
			Expect(text).To(ContainSubstring("| `%s%s` |", metric.Prefix, name))
		}
	})
})

var _ = Describe("links between pages", func() {
	// Guards against a page that was renamed while others still point to its old name.
	It("lead to files that exist", func() {
		pages, err := filepath.Glob("*.md")
		Expect(err).NotTo(HaveOccurred())
		incidents, err := filepath.Glob("incidents/*.md")
		Expect(err).NotTo(HaveOccurred())
		link := regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
		for _, name := range append(append(pages, incidents...), "../README.md") {
			for _, match := range link.FindAllStringSubmatch(page(name), -1) {
				Expect(filepath.Join(filepath.Dir(name), match[1])).To(BeAnExistingFile(), "link in %s", name)
			}
		}
	})
})
