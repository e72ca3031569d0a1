package main

import (
	"context"
	"flag"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/internal/object"
	"peridotgw.example/peridotgw/model"
)

func (a *app) validateCommand() *command {
	return &command{
		app: a, name: "validate", synopsis: "check object files without a connection", args: "file-or-directory...", offline: true,
		help: `Checks the files as one complete configuration, with the same checks as a publication.
References to objects that are not in the files are problems.`,
		example: "peridotctl validate examples/hollow-creek/objects",
		run: func(_ context.Context, s *session, args []string) error {
			files, err := loadFiles(args)
			if err != nil {
				return err
			}
			set, err := files.Set()
			if err != nil {
				return err
			}
			if err := files.LocateProblems(a.validate(set)); err != nil {
				return err
			}
			rows := [][]string{{"KIND", "NAME"}}
			for _, o := range files.Objects {
				rows = append(rows, []string{string(o.Kind), o.Name})
			}
			return s.print(files.Objects, rows)
		},
	}
}

func loadFiles(args []string) (*object.Files, error) {
	if err := checkArgCount(args, 1, -1, "at least one file or directory"); err != nil {
		return nil, err
	}
	files, err := object.Load(args...)
	if err != nil {
		return nil, asUsageError(err)
	}
	return files, nil
}

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	id     string
	base   uint64
	dryRun bool
}

func (c *changeFlags) register(f *flag.FlagSet) {
	f.StringVar(&c.id, "change-id", "", "`id` of the change; give the printed one to repeat a change whose answer was lost")
	f.Uint64Var(&c.base, "base-revision", 0, "`revision` that the change was made from, as get and diff print it; default the current one")
	f.BoolVar(&c.dryRun, "dry-run", false, "check the change and change nothing")
}

// publish prints the change's id and base revision and then sends it, so that the operator can repeat it after any failure.
func (s *session) publish(ctx context.Context, flags *changeFlags, change client.Change) error {
	change.ID, change.Base, change.DryRun = model.ChangeID(flags.id), model.Revision(flags.base), flags.dryRun
	if change.ID == "" {
		change.ID = client.NewChangeID()
	}
	if change.Base == 0 {
		current, err := s.operator.Status(ctx)
		if err != nil {
			return eris.Wrap(err, "reading the current revision")
		}
		change.Base = current.Revision
	}
	s.printNote("change %s from revision %d; to repeat it, add -change-id %s -base-revision %d", change.ID, change.Base, change.ID, change.Base)
	result, err := s.operator.Publish(ctx, change)
	if err != nil {
		return err
	}
	if flags.dryRun {
		s.printNote("dry run: nothing was changed")
	}
	return s.printResult(result)
}

func (a *app) publishCommand() *command {
	var flags changeFlags
	return &command{
		app: a, name: "publish", synopsis: "put objects from files into the configuration, as one change", args: "file-or-directory...",
		help: `Puts all objects of the files as one change: all of them take effect, or none.
Objects that are not in the files stay as they are. A refusal lists each broken reference.`,
		example: "peridotctl publish -dry-run objects/\nperidotctl publish objects/customers.jsonc objects/guarantees.jsonc",
		flags:   flags.register,
		run: func(ctx context.Context, s *session, args []string) error {
			files, err := loadFiles(args)
			if err != nil {
				return err
			}
			return s.publish(ctx, &flags, client.Change{Put: files.Objects})
		},
	}
}

func (a *app) withdrawCommand() *command {
	var flags changeFlags
	return &command{
		app: a, name: "withdraw", synopsis: "delete objects from the configuration, as one change", args: "kind/name...",
		help:    "Deletes the named objects as one change. Objects that others refer to are not deleted; the refusal names them.",
		example: "peridotctl withdraw guarantee/parks-large shape/large",
		flags:   flags.register,
		run: func(ctx context.Context, s *session, args []string) error {
			if err := checkArgCount(args, 1, -1, "at least one kind/name"); err != nil {
				return err
			}
			var refs []model.Ref
			for _, arg := range args {
				ref, err := parseRef(arg)
				if err != nil {
					return err
				}
				if ref.Name == "" {
					return usageErrorf("%q names no object; use kind/name", arg)
				}
				refs = append(refs, ref)
			}
			return s.publish(ctx, &flags, client.Change{Delete: refs})
		},
	}
}

// parseRef parses "kind" or "kind/name"; the name is empty if it is missing.
func parseRef(arg string) (model.Ref, error) {
	kind, name, _ := strings.Cut(arg, "/")
	if !slices.Contains(model.Kinds(), model.Kind(kind)) {
		return model.Ref{}, usageErrorf("%q is not a kind; kinds are %v", kind, model.Kinds())
	}
	return model.Ref{Kind: model.Kind(kind), Name: name}, nil
}

func (a *app) getCommand() *command {
	var revision uint64
	return &command{
		app: a, name: "get", synopsis: "print objects of the configuration", args: "[kind[/name]]",
		help:    "Prints the objects and the revision that last changed each. With -o json the output is an object file.",
		example: "peridotctl get guarantee\nperidotctl get -o json > backup.json",
		flags: func(f *flag.FlagSet) {
			f.Uint64Var(&revision, "revision", 0, "print the configuration at this `revision` instead of the current one")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if err := checkArgCount(args, 0, 1, "at most one kind or kind/name"); err != nil {
				return err
			}
			selection := client.Selection{Revision: model.Revision(revision)}
			if len(args) == 1 {
				ref, err := parseRef(args[0])
				if err != nil {
					return err
				}
				selection.Kind, selection.Name = ref.Kind, ref.Name
			}
			got, err := s.operator.Objects(ctx, selection)
			if err != nil {
				return err
			}
			s.printNote("revision %d", got.Revision)
			rows := [][]string{{"KIND", "NAME", "REVISION", "SPEC"}}
			unversioned := make([]model.Object, 0, len(got.Objects))
			for _, o := range got.Objects {
				rows = append(rows, []string{string(o.Kind), o.Name, formatNumber(o.Revision), string(o.Spec)})
				o.Revision = 0
				unversioned = append(unversioned, o)
			}
			return s.print(unversioned, rows)
		},
	}
}
