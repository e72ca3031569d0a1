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
		help: `Checks the files as one complete configuration, with the checks of the system.
References to objects that are not in the files are problems.`,
		example: "peridotctl validate examples/hollow-creek/objects",
		run: func(_ context.Context, s *session, args []string) error {
			files, err := load(args)
			if err != nil {
				return err
			}
			set, err := files.Set()
			if err != nil {
				return err
			}
			if err := files.Check(a.validate(set)); err != nil {
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

func load(args []string) (*object.Files, error) {
	if err := count(args, 1, -1, "at least one file or directory"); err != nil {
		return nil, err
	}
	files, err := object.Load(args...)
	if err != nil {
		return nil, usageWrap(err)
	}
	return files, nil
}

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	id     string
	base   uint64
	dryRun bool
}

func (c *changeFlags) set(f *flag.FlagSet) {
	f.StringVar(&c.id, "change-id", "", "`id` of the change; give the printed one to repeat a change whose answer was lost")
	f.Uint64Var(&c.base, "base-revision", 0, "`revision` that the change was made from, as get and diff print it; default the current one")
	f.BoolVar(&c.dryRun, "dry-run", false, "check the change and change nothing")
}

// publish sends a change after its id and base revision were printed, so that it can be repeated whatever happens then.
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
	s.note("change %s from revision %d; to repeat it, add -change-id %s -base-revision %d", change.ID, change.Base, change.ID, change.Base)
	result, err := s.operator.Publish(ctx, change)
	if err != nil {
		return err
	}
	if flags.dryRun {
		s.note("dry run: nothing was changed")
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
		flags:   flags.set,
		run: func(ctx context.Context, s *session, args []string) error {
			files, err := load(args)
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
		flags:   flags.set,
		run: func(ctx context.Context, s *session, args []string) error {
			if err := count(args, 1, -1, "at least one kind/name"); err != nil {
				return err
			}
			var refs []model.Ref
			for _, arg := range args {
				ref, err := reference(arg)
				if err != nil {
					return err
				}
				if ref.Name == "" {
					return usage("%q names no object; use kind/name", arg)
				}
				refs = append(refs, ref)
			}
			return s.publish(ctx, &flags, client.Change{Delete: refs})
		},
	}
}

// reference reads "kind" or "kind/name".
func reference(arg string) (model.Ref, error) {
	kind, name, _ := strings.Cut(arg, "/")
	if !slices.Contains(model.Kinds(), model.Kind(kind)) {
		return model.Ref{}, usage("%q is not a kind; kinds are %v", kind, model.Kinds())
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
			if err := count(args, 0, 1, "at most one kind or kind/name"); err != nil {
				return err
			}
			selection := client.Selection{Revision: model.Revision(revision)}
			if len(args) == 1 {
				ref, err := reference(args[0])
				if err != nil {
					return err
				}
				selection.Kind, selection.Name = ref.Kind, ref.Name
			}
			got, err := s.operator.Objects(ctx, selection)
			if err != nil {
				return err
			}
			s.note("revision %d", got.Revision)
			rows := [][]string{{"KIND", "NAME", "REVISION", "SPEC"}}
			plain := make([]model.Object, 0, len(got.Objects))
			for _, o := range got.Objects {
				rows = append(rows, []string{string(o.Kind), o.Name, number(o.Revision), string(o.Spec)})
				o.Revision = 0
				plain = append(plain, o)
			}
			return s.print(plain, rows)
		},
	}
}
