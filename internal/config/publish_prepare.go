package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// prepared is a change applied to one head, ready to be written.
type prepared struct {
	head        head
	raw         []byte            // head as it is stored
	newSegments map[string][]byte // segments to write, by hash
	result      Result
}

// checkChange validates a change on its own, without the configuration, and returns the digest of its content.
func checkChange(c Change) (string, *reply.Error) {
	if !model.ValidName(string(c.ID)) {
		return "", reply.Refused(reply.ReasonMalformed, "change id %q is not in kebab case or longer than %d", c.ID, model.MaxNameLength)
	}
	if len(c.Put)+len(c.Delete) == 0 {
		return "", reply.Refused(reply.ReasonMalformed, "the change puts and deletes nothing")
	}
	seen := map[model.Ref]bool{}
	var problems []model.Problem
	addProblem := func(ref model.Ref, field, format string, args ...any) {
		problems = append(problems, model.Problem{Kind: ref.Kind, Name: ref.Name, Field: field, Message: fmt.Sprintf(format, args...)})
	}
	checkRef := func(ref model.Ref) {
		if seen[ref] {
			addProblem(ref, "", "is named twice in the change")
		}
		seen[ref] = true
		if !slices.Contains(model.Kinds(), ref.Kind) {
			addProblem(ref, "kind", "%q does not exist", ref.Kind)
		}
	}
	puts := model.NewSet()
	for _, object := range c.Put {
		checkRef(object.Ref())
		if !slices.Contains(model.Kinds(), object.Kind) {
			continue
		}
		object.Revision = 0
		var decode *model.DecodeError
		if err := puts.Put(object); errors.As(err, &decode) {
			addProblem(object.Ref(), "spec", "%v", decode.Cause)
		}
	}
	for _, ref := range c.Delete {
		checkRef(ref)
	}
	if len(problems) > 0 {
		refused := reply.Refused(reply.ReasonInvalid, "the change has %d problems", len(problems))
		refused.Problems = problems
		return "", refused
	}
	return digestChange(puts, c.Delete)
}

// digestChange returns a digest of a change that depends neither on the order of its objects nor on its JSON formatting.
func digestChange(puts *model.Set, deletes []model.Ref) (string, *reply.Error) {
	objects, err := puts.Objects()
	if err != nil {
		return "", reply.Refused(reply.ReasonMalformed, "the change cannot be encoded: %v", err)
	}
	data, err := json.Marshal(struct {
		Put    []model.Object
		Delete []model.Ref
	}{objects, slices.SortedFunc(slices.Values(deletes), model.CompareRefs)})
	if err != nil {
		return "", reply.Refused(reply.ReasonMalformed, "the change cannot be encoded: %v", err)
	}
	return contentHash(data), nil
}

// prepareChange applies the change to a head and validates the resulting configuration.
func (p *publication) prepareChange(ctx context.Context, newest observedHead) (prepared, *reply.Error) {
	if p.change.Base > newest.head.Revision {
		return prepared{}, reply.Refused(reply.ReasonConflict, "base revision %d does not exist; the newest is %d",
			p.change.Base, newest.head.Revision)
	}
	before, err := p.setAt(ctx, 0, newest)
	if err != nil {
		return prepared{}, unreadableError(err)
	}
	after := before.Clone()
	after.Revision, after.ChangeID = newest.head.Revision+1, p.change.ID
	problems := p.applyChange(before, after)
	if refused := p.conflicts(ctx, before, after, newest); refused != nil {
		return prepared{}, refused
	}
	problems = append(problems, model.Validate(after)...)
	if len(problems) == 0 && p.Check != nil {
		problems = p.Check(after)
	}
	if len(problems) > 0 {
		refused := reply.Refused(reply.ReasonInvalid, "the configuration would have %d problems", len(problems))
		refused.Revision, refused.Problems = newest.head.Revision, problems
		return prepared{}, refused
	}
	return p.encodeHead(before, after, newest)
}

// applyChange puts and deletes the objects of the change in after.
func (p *publication) applyChange(before, after *model.Set) []model.Problem {
	var problems []model.Problem
	for _, ref := range p.change.Delete {
		if !after.Delete(ref) {
			problems = append(problems, model.Problem{Kind: ref.Kind, Name: ref.Name, Message: "does not exist, so it cannot be deleted"})
		}
	}
	for _, object := range p.change.Put {
		object.Revision = before.Modified[object.Ref()]
		if err := after.Put(object); err != nil {
			problems = append(problems, model.Problem{Kind: object.Kind, Name: object.Name, Field: "spec", Message: err.Error()})
		}
	}
	return problems
}

// conflicts refuses the change if an object that it changes or refers to was changed or deleted since its base revision.
func (p *publication) conflicts(ctx context.Context, before, after *model.Set, newest observedHead) *reply.Error {
	var touched []model.Ref
	for _, object := range p.change.Put {
		touched = append(touched, object.Ref())
		touched = append(touched, after.References(object.Ref())...)
	}
	touched = append(touched, p.change.Delete...)
	slices.SortFunc(touched, model.CompareRefs)
	var conflicts []model.Ref
	var base *model.Set
	for _, ref := range slices.Compact(touched) {
		modified, exists := before.Modified[ref]
		switch {
		case exists && modified > p.change.Base:
			conflicts = append(conflicts, ref)
		case !exists && base == nil && p.change.Base > 0 && p.change.Base < newest.head.Revision:
			set, err := p.setAt(ctx, p.change.Base, newest)
			if refused := p.baseReadError(err); refused != nil {
				return refused
			}
			base = set
		}
		if base == nil || exists {
			continue
		}
		if _, existed := base.Modified[ref]; existed {
			conflicts = append(conflicts, ref)
		}
	}
	if len(conflicts) == 0 {
		return nil
	}
	refused := reply.Refused(reply.ReasonConflict, "%d objects changed since base revision %d", len(conflicts), p.change.Base)
	refused.Revision, refused.Conflicts = newest.head.Revision, conflicts
	return refused
}

// baseReadError returns the answer for a failed read of the base revision, and nil without an error.
func (p *publication) baseReadError(err error) *reply.Error {
	var missing *store.NotFoundError
	var segment *MissingSegmentError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &missing), errors.As(err, &segment):
		return reply.Refused(reply.ReasonConflict, "base revision %d is no longer kept, so it cannot be told what changed since", p.change.Base)
	default:
		return unreadableError(err)
	}
}

// encodeHead builds the next head and its segments and checks their sizes.
func (p *publication) encodeHead(before, after *model.Set, newest observedHead) (prepared, *reply.Error) {
	differences, err := model.Diff(before, after)
	if err != nil {
		return prepared{}, reply.Refused(reply.ReasonInvalid, "the configuration cannot be encoded: %v", err)
	}
	var changed []model.Ref
	kinds := map[model.Kind]bool{}
	for _, difference := range differences {
		changed = append(changed, difference.Ref)
		kinds[difference.Ref.Kind] = true
		if difference.Action != model.ActionRemoved {
			after.Modified[difference.Ref] = after.Revision
		}
	}
	hashes, newSegments, err := encodeSegments(after, newest.head, kinds)
	if err != nil {
		return prepared{}, reply.Refused(reply.ReasonInvalid, "the configuration cannot be encoded: %v", err)
	}
	for kind, hash := range hashes {
		if size := len(newSegments[hash]); size > store.MaxValueBytes {
			return prepared{}, reply.Refused(reply.ReasonTooLarge, "objects of kind %s take %d bytes, more than %d", kind, size, store.MaxValueBytes)
		}
	}
	next := head{
		Revision: after.Revision, ChangeID: after.ChangeID, Digest: p.digest, Operator: p.change.Operator, At: p.wall(),
		Segments: hashes, Changed: changed,
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return prepared{}, reply.Refused(reply.ReasonInvalid, "the head cannot be encoded: %v", err)
	}
	if len(raw) > store.MaxValueBytes {
		return prepared{}, reply.Refused(reply.ReasonTooLarge, "the change names too many objects: the head would take %d bytes, more than %d",
			len(raw), store.MaxValueBytes)
	}
	result := Result{ChangeID: p.change.ID, Revision: next.Revision, Changed: changed, Warnings: changeWarnings(after, changed)}
	return prepared{head: next, raw: raw, newSegments: newSegments, result: result}, nil
}

// changeWarnings returns messages to the operator about consequences that do not make the change invalid.
func changeWarnings(after *model.Set, changed []model.Ref) []string {
	if len(changed) == 0 {
		return []string{"the change equals the configuration in effect"}
	}
	var found []string
	for name, guarantee := range after.Guarantees {
		touched := slices.Contains(changed, model.Ref{Kind: model.KindDataCentre, Name: string(guarantee.DataCentre)}) ||
			slices.Contains(changed, model.Ref{Kind: model.KindGuarantee, Name: string(name)})
		if touched && after.DataCentres[guarantee.DataCentre].Service == model.ServiceOut {
			found = append(found, fmt.Sprintf("guarantee %q of customer %q is not served while data centre %q is out of service",
				name, guarantee.Customer, guarantee.DataCentre))
		}
	}
	slices.Sort(found)
	return found
}
