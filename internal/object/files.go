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
	locations map[model.Ref]location
}

// location is where an object was read; field is its path in the document.
type location struct {
	document *jsonc.Document
	field    string
}

// objectEntry is an object in a file. It has no revision, because only the system assigns revisions.
type objectEntry struct {
	Kind model.Kind      `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
}

// Load reads files, and in directories the files that end in .json, .jsonc or .hujson (not in subdirectories). It returns the
// problems of all files, joined; the problems of a file are a *jsonc.Error that errors.As finds.
func Load(paths ...string) (*Files, error) {
	names, err := expandPaths(paths)
	if err != nil {
		return nil, err
	}
	files := &Files{locations: map[model.Ref]location{}}
	var errs []error
	for _, name := range names {
		document, err := jsonc.Open(name)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		files.documents = append(files.documents, document)
		files.addObjects(document)
	}
	if err := errors.Join(append(errs, files.err())...); err != nil {
		return nil, err
	}
	return files, nil
}

// expandPaths replaces directories by the object files in them.
func expandPaths(paths []string) ([]string, error) {
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
		countBefore := len(names)
		for _, entry := range entries {
			if !entry.IsDir() && slices.Contains([]string{".json", ".jsonc", ".hujson"}, filepath.Ext(entry.Name())) {
				names = append(names, filepath.Join(path, entry.Name()))
			}
		}
		if len(names) == countBefore {
			return nil, eris.Errorf("directory %s has no file that ends in .json, .jsonc or .hujson", path)
		}
	}
	return names, nil
}

// addObjects decodes the objects of one file and reports its problems to the document.
func (f *Files) addObjects(document *jsonc.Document) {
	var entries []objectEntry
	document.Decode(&entries)
	for i, entry := range entries {
		field := fmt.Sprintf("[%d]", i)
		object := model.Object{Kind: entry.Kind, Name: entry.Name, Spec: entry.Spec}
		if entry.Name == "" && !document.Reported(field+".name") {
			document.Report(field+".name", "the field is required")
		}
		if first, found := f.locations[object.Ref()]; found && entry.Name != "" {
			line, _ := first.document.Position(first.field)
			document.Report(field+".name", "%s %q is given in %s:%d as well", entry.Kind, entry.Name, first.document.Path, line)
			continue
		}
		f.locations[object.Ref()] = location{document: document, field: field}
		f.Objects = append(f.Objects, object)
		checkSpec(document, field, entry)
	}
}

// checkSpec checks the fields of a spec against the type of its kind.
func checkSpec(document *jsonc.Document, field string, entry objectEntry) {
	var target any
	switch entry.Kind {
	case model.KindDataCentre:
		target = &model.DataCentre{}
	case model.KindCustomer:
		target = &model.Customer{}
	case model.KindShape:
		target = &model.Shape{}
	case model.KindGuarantee:
		target = &model.Guarantee{}
	case model.KindJobClass:
		target = &model.JobClass{}
	case model.KindRequestClass:
		target = &model.RequestClass{}
	default:
		if !document.Reported(field + ".kind") {
			document.Report(field+".kind", "%q is not a kind; kinds are %s", entry.Kind, kindNames())
		}
		return
	}
	document.DecodeAt(field+".spec", target)
}

// kindNames returns all kinds for messages.
func kindNames() string {
	names := make([]string, 0, len(model.Kinds()))
	for _, kind := range model.Kinds() {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// err returns the problems of all documents, joined.
func (f *Files) err() error {
	var errs []error
	for _, document := range f.documents {
		errs = append(errs, document.Err())
	}
	return errors.Join(errs...)
}

// LocateProblems returns an error with the problems of a set that was built from the files, each with its position; problems of objects
// that are not in the files have none.
func (f *Files) LocateProblems(problems []model.Problem) error {
	var errs []error
	for _, problem := range problems {
		location, found := f.locations[model.Ref{Kind: problem.Kind, Name: problem.Name}]
		if !found {
			errs = append(errs, &jsonc.Error{Path: "configuration", Problems: []jsonc.Problem{{Message: problem.String()}}})
			continue
		}
		field := location.field + ".spec"
		if problem.Field != "" {
			field += "." + problem.Field
		}
		location.document.Report(field, "%s", problem.String())
	}
	return errors.Join(append(errs, f.err())...)
}

// Set returns a set of the objects of the files and of no others.
func (f *Files) Set() (*model.Set, error) {
	set, err := model.FromObjects(f.Objects)
	if err != nil {
		return nil, eris.Wrap(err, "building set")
	}
	return set, nil
}
