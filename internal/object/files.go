package object

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/jsonc"
	"peridotgw.example/peridotgw/model"
)

// Files holds the objects of several files, in the order of the files.
type Files struct {
	Objects []model.Object

	documents []*jsonc.Document
	sources   map[model.Ref]source
}

// source tells where an object is: Field is its path in the document.
type source struct {
	document *jsonc.Document
	field    string
}

// entry is an object in a file. It has no revision, which only the system assigns.
type entry struct {
	Kind model.Kind      `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
}

// Load reads files, and all files of directories that end in .json, .jsonc or .hujson (without their subdirectories).
// It returns the problems of all files, joined; each is a *jsonc.Error that errors.As finds.
func Load(paths ...string) (*Files, error) {
	names, err := expand(paths)
	if err != nil {
		return nil, err
	}
	files := &Files{sources: map[model.Ref]source{}}
	var errs []error
	for _, name := range names {
		document, err := jsonc.Open(name)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		files.documents = append(files.documents, document)
		files.add(document)
	}
	if err := errors.Join(append(errs, files.err())...); err != nil {
		return nil, err
	}
	return files, nil
}

func expand(paths []string) ([]string, error) {
	var names []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, eris.Wrap(err, "reading objects")
		}
		if !info.IsDir() {
			names = append(names, path)
			continue
		}
		entries, err := os.ReadDir(path)
		if err != nil {
			return nil, eris.Wrap(err, "reading objects")
		}
		before := len(names)
		for _, entry := range entries {
			if !entry.IsDir() && slices.Contains([]string{".json", ".jsonc", ".hujson"}, filepath.Ext(entry.Name())) {
				names = append(names, filepath.Join(path, entry.Name()))
			}
		}
		if len(names) == before {
			return nil, eris.Errorf("directory %s has no file that ends in .json, .jsonc or .hujson", path)
		}
	}
	return names, nil
}

func (f *Files) add(document *jsonc.Document) {
	var entries []entry
	document.Decode(&entries)
	for i, e := range entries {
		field := fmt.Sprintf("[%d]", i)
		object := model.Object{Kind: e.Kind, Name: e.Name, Spec: e.Spec}
		if e.Name == "" && !document.Reported(field+".name") {
			document.Report(field+".name", "the field is required")
		}
		if first, found := f.sources[object.Ref()]; found && e.Name != "" {
			line, _ := first.document.Position(first.field)
			document.Report(field+".name", "%s %q is given in %s:%d as well", e.Kind, e.Name, first.document.Path, line)
			continue
		}
		f.sources[object.Ref()] = source{document: document, field: field}
		f.Objects = append(f.Objects, object)
		spec(document, field, e)
	}
}

// spec checks the fields of a spec against the type of its kind.
func spec(document *jsonc.Document, field string, e entry) {
	var into any
	switch e.Kind {
	case model.KindDataCentre:
		into = &model.DataCentre{}
	case model.KindCustomer:
		into = &model.Customer{}
	case model.KindShape:
		into = &model.Shape{}
	case model.KindGuarantee:
		into = &model.Guarantee{}
	case model.KindJobClass:
		into = &model.JobClass{}
	case model.KindRequestClass:
		into = &model.RequestClass{}
	default:
		if !document.Reported(field + ".kind") {
			document.Report(field+".kind", "%q is not a kind; kinds are %s", e.Kind, kinds())
		}
		return
	}
	document.DecodeAt(field+".spec", into)
}

func kinds() string {
	names := make([]string, 0, len(model.Kinds()))
	for _, kind := range model.Kinds() {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

func (f *Files) err() error {
	var errs []error
	for _, document := range f.documents {
		errs = append(errs, document.Err())
	}
	return errors.Join(errs...)
}

// Check returns an error with the problems of a set that was built from the files, each with its position; problems of
// objects that are not in the files keep their text without a position.
func (f *Files) Check(problems []model.Problem) error {
	var errs []error
	for _, problem := range problems {
		at, found := f.sources[model.Ref{Kind: problem.Kind, Name: problem.Name}]
		if !found {
			errs = append(errs, &jsonc.Error{Path: "configuration", Problems: []jsonc.Problem{{Message: problem.String()}}})
			continue
		}
		field := at.field + ".spec"
		if problem.Field != "" {
			field += "." + problem.Field
		}
		at.document.Report(field, "%s", problem.String())
	}
	return errors.Join(append(errs, f.err())...)
}

// Set builds a set of the files' objects alone.
func (f *Files) Set() (*model.Set, error) {
	set, err := model.FromObjects(f.Objects)
	if err != nil {
		return nil, eris.Wrap(err, "building set")
	}
	return set, nil
}
