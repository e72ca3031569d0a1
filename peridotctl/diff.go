package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/model"
)

// difference is one field, or one whole object, that differs.
type difference struct {
	Kind   model.Kind `json:"kind"`
	Name   string     `json:"name"`
	Change string     `json:"change"`
	Field  string     `json:"field,omitempty"`
	Old    string     `json:"old,omitempty"`
	New    string     `json:"new,omitempty"`
}

func (a *app) diffCommand() *command {
	var revision uint64
	var all bool
	return &command{
		app: a, name: "diff", synopsis: "compare object files with the configuration", args: "file-or-directory...",
		help: `Prints what publishing the files would change, field by field. Exit code 0 means that the comparison was made,
whether there are differences or not; with -o json no difference is an empty list.`,
		example: "peridotctl diff objects/\nperidotctl diff -revision 41 -all objects/",
		flags: func(f *flag.FlagSet) {
			f.Uint64Var(&revision, "revision", 0, "compare with this `revision` instead of the current one")
			f.BoolVar(&all, "all", false, "list objects that are in the configuration and not in the files")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			files, err := loadFiles(args)
			if err != nil {
				return err
			}
			got, err := s.operator.Objects(ctx, client.Selection{Revision: model.Revision(revision)})
			if err != nil {
				return err
			}
			differences, err := compareObjects(got.Objects, files.Objects, all)
			if err != nil {
				return err
			}
			s.printNote("compared with revision %d: %d differences", got.Revision, len(differences))
			rows := [][]string{{"CHANGE", "KIND", "NAME", "FIELD", "OLD", "NEW"}}
			for _, d := range differences {
				rows = append(rows, []string{d.Change, string(d.Kind), d.Name, dashIfEmpty(d.Field), dashIfEmpty(d.Old), dashIfEmpty(d.New)})
			}
			return s.print(differences, rows)
		},
	}
}

// compareObjects returns the differences ordered by kind, name and field; all includes objects that are only in old.
func compareObjects(old, updated []model.Object, all bool) ([]difference, error) {
	before, err := canonicalize(old)
	if err != nil {
		return nil, eris.Wrap(err, "decoding the configuration")
	}
	after, err := canonicalize(updated)
	if err != nil {
		return nil, asUsageError(err)
	}
	differences := []difference{}
	for _, o := range after.list {
		oldFields, found := before.fields[o.Ref()]
		if !found {
			differences = append(differences, difference{Kind: o.Kind, Name: o.Name, Change: "add", New: string(o.Spec)})
			continue
		}
		newFields := after.fields[o.Ref()]
		names := maps.Clone(oldFields)
		maps.Copy(names, newFields)
		for _, field := range slices.Sorted(maps.Keys(names)) {
			if oldFields[field] != newFields[field] {
				differences = append(differences, difference{Kind: o.Kind, Name: o.Name, Change: "change", Field: field, Old: oldFields[field], New: newFields[field]})
			}
		}
	}
	for _, o := range before.list {
		if _, found := after.fields[o.Ref()]; !found && all {
			differences = append(differences, difference{Kind: o.Kind, Name: o.Name, Change: "not in files", Old: string(o.Spec)})
		}
	}
	return differences, nil
}

// canonicalObjects holds objects in canonical form, with the flattened fields of each.
type canonicalObjects struct {
	list   []model.Object
	fields map[model.Ref]map[string]string
}

// canonicalize encodes each spec in one form, so that "1m" and "60s", or a left-out field and its zero, are the same.
func canonicalize(objects []model.Object) (canonicalObjects, error) {
	set, err := model.FromObjects(objects)
	if err != nil {
		return canonicalObjects{}, err
	}
	list, err := set.Objects()
	if err != nil {
		return canonicalObjects{}, err
	}
	result := canonicalObjects{list: list, fields: map[model.Ref]map[string]string{}}
	for _, o := range list {
		var spec any
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			return canonicalObjects{}, err
		}
		fields := map[string]string{}
		flattenFields("", spec, fields)
		result.fields[o.Ref()] = fields
	}
	return result, nil
}

// flattenFields stores each leaf of value under its path, such as "racks[0].name".
func flattenFields(prefix string, value any, into map[string]string) {
	switch v := value.(type) {
	case map[string]any:
		for name, item := range v {
			path := name
			if prefix != "" {
				path = prefix + "." + name
			}
			flattenFields(path, item, into)
		}
	case []any:
		for i, item := range v {
			flattenFields(fmt.Sprintf("%s[%d]", prefix, i), item, into)
		}
	default:
		into[prefix] = fmt.Sprint(v)
	}
}
