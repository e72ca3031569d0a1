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

// plan is a change applied to one head.
type plan struct {
	head   head
	raw    []byte
	fresh  map[string][]byte
	result Result
}

// check refuses what is wrong with a change by itself and returns the digest of its content.
func check(c Change) (string, *reply.Error) {
	if !model.ValidName(string(c.ID)) {
		return "", reply.Refused(reply.ReasonMalformed, "change id %q is not in kebab case or longer than %d", c.ID, model.MaxNameLength)
	}
	if len(c.Put)+len(c.Delete) == 0 {
		return "", reply.Refused(reply.ReasonMalformed, "the change puts and deletes nothing")
	}
	seen := map[model.Ref]bool{}
	var problems []model.Problem
	problem := func(ref model.Ref, field, format string, args ...any) {
		problems = append(problems, model.Problem{Kind: ref.Kind, Name: ref.Name, Field: field, Message: fmt.Sprintf(format, args...)})
	}
	once := func(ref model.Ref) {
		if seen[ref] {
			problem(ref, "", "is named twice in the change")
		}
		seen[ref] = true
		if !slices.Contains(model.Kinds(), ref.Kind) {
			problem(ref, "kind", "%q does not exist", ref.Kind)
		}
	}
	puts := model.NewSet()
	for _, object := range c.Put {
		once(object.Ref())
		if !slices.Contains(model.Kinds(), object.Kind) {
			continue
		}
		object.Revision = 0
		var decode *model.DecodeError
		if err := puts.Put(object); errors.As(err, &decode) {
			problem(object.Ref(), "spec", "%v", decode.Cause)
		}
	}
	for _, ref := range c.Delete {
		once(ref)
	}
	if len(problems) > 0 {
		refused := reply.Refused(reply.ReasonInvalid, "the change has %d problems", len(problems))
		refused.Problems = problems
		return "", refused
	}
	return digestOf(puts, c.Delete)
}

// digestOf identifies the content of a change independent of order and of the spelling of its JSON.
func digestOf(puts *model.Set, deletes []model.Ref) (string, *reply.Error) {
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
	return hashOf(data), nil
}

// prepare applies the change to a head and checks the whole result.
func (p *publication) prepare(ctx context.Context, now observed) (plan, *reply.Error) {
	if p.change.Base > now.head.Revision {
		return plan{}, reply.Refused(reply.ReasonConflict, "base revision %d does not exist; the newest is %d", p.change.Base, now.head.Revision)
	}
	before, err := p.setAt(ctx, 0, now)
	if err != nil {
		return plan{}, unreadable(err)
	}
	after := before.Clone()
	after.Revision, after.ChangeID = now.head.Revision+1, p.change.ID
	problems := p.apply(before, after)
	if refused := p.conflicts(ctx, before, after, now); refused != nil {
		return plan{}, refused
	}
	problems = append(problems, model.Validate(after)...)
	if len(problems) == 0 && p.Check != nil {
		problems = p.Check(after)
	}
	if len(problems) > 0 {
		refused := reply.Refused(reply.ReasonInvalid, "the configuration would have %d problems", len(problems))
		refused.Revision, refused.Problems = now.head.Revision, problems
		return plan{}, refused
	}
	return p.encode(before, after, now)
}

// apply puts and deletes the objects of the change.
func (p *publication) apply(before, after *model.Set) []model.Problem {
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

// conflicts refuses the change when an object that it touches or refers to was changed or deleted since its base revision.
func (p *publication) conflicts(ctx context.Context, before, after *model.Set, now observed) *reply.Error {
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
		case !exists && base == nil && p.change.Base > 0 && p.change.Base < now.head.Revision:
			set, err := p.setAt(ctx, p.change.Base, now)
			if refused := p.baseUnreadable(err); refused != nil {
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
	refused.Revision, refused.Conflicts = now.head.Revision, conflicts
	return refused
}

func (p *publication) baseUnreadable(err error) *reply.Error {
	var missing *store.NotFoundError
	var segment *MissingSegmentError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &missing), errors.As(err, &segment):
		return reply.Refused(reply.ReasonConflict, "base revision %d is no longer kept, so it cannot be told what changed since", p.change.Base)
	default:
		return unreadable(err)
	}
}

// encode builds the next head.
func (p *publication) encode(before, after *model.Set, now observed) (plan, *reply.Error) {
	differences, err := model.Diff(before, after)
	if err != nil {
		return plan{}, reply.Refused(reply.ReasonInvalid, "the configuration cannot be encoded: %v", err)
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
	hashes, fresh, err := split(after, now.head, kinds)
	if err != nil {
		return plan{}, reply.Refused(reply.ReasonInvalid, "the configuration cannot be encoded: %v", err)
	}
	for kind, hash := range hashes {
		if size := len(fresh[hash]); size > store.MaxValueBytes {
			return plan{}, reply.Refused(reply.ReasonTooLarge, "objects of kind %s take %d bytes, more than %d", kind, size, store.MaxValueBytes)
		}
	}
	next := head{
		Revision: after.Revision, ChangeID: after.ChangeID, Digest: p.digest, By: p.change.By, At: p.wall(), Segments: hashes, Changed: changed,
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return plan{}, reply.Refused(reply.ReasonInvalid, "the head cannot be encoded: %v", err)
	}
	if len(raw) > store.MaxValueBytes {
		return plan{}, reply.Refused(reply.ReasonTooLarge, "the change names too many objects: the head would take %d bytes, more than %d",
			len(raw), store.MaxValueBytes)
	}
	result := Result{ChangeID: p.change.ID, Revision: next.Revision, Changed: changed, Warnings: warnings(after, changed)}
	return plan{head: next, raw: raw, fresh: fresh, result: result}, nil
}

// warnings tells the operator of consequences that do not make the change invalid.
func warnings(after *model.Set, changed []model.Ref) []string {
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
