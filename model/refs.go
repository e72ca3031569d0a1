package model

import (
	"encoding/json"
	"slices"
	"strings"
)

// Action tells how an object differs between two sets.
type Action string

// Actions of a Difference.
const (
	ActionAdded   Action = "added"
	ActionChanged Action = "changed"
	ActionRemoved Action = "removed"
)

// Difference is one object that differs between two sets.
type Difference struct {
	Ref    Ref             `json:"ref"`
	Action Action          `json:"action"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Diff returns the objects whose specs differ between two sets, ordered by kind and name; nil sets are empty.
func Diff(before, after *Set) ([]Difference, error) {
	old, err := specs(before)
	if err != nil {
		return nil, err
	}
	current, err := specs(after)
	if err != nil {
		return nil, err
	}
	var differences []Difference
	for ref, spec := range current {
		was, found := old[ref]
		switch {
		case !found:
			differences = append(differences, Difference{Ref: ref, Action: ActionAdded, After: spec})
		case string(was) != string(spec):
			differences = append(differences, Difference{Ref: ref, Action: ActionChanged, Before: was, After: spec})
		}
	}
	for ref, spec := range old {
		if _, found := current[ref]; !found {
			differences = append(differences, Difference{Ref: ref, Action: ActionRemoved, Before: spec})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int { return CompareRefs(a.Ref, b.Ref) })
	return differences, nil
}

// CompareRefs orders references by kind, as in Kinds, and then by name.
func CompareRefs(a, b Ref) int {
	kinds := Kinds()
	if order := slices.Index(kinds, a.Kind) - slices.Index(kinds, b.Kind); order != 0 {
		return order
	}
	return strings.Compare(a.Name, b.Name)
}

func specs(set *Set) (map[Ref]json.RawMessage, error) {
	found := map[Ref]json.RawMessage{}
	if set == nil {
		return found, nil
	}
	objects, err := set.Objects()
	if err != nil {
		return nil, err
	}
	for _, object := range objects {
		found[object.Ref()] = object.Spec
	}
	return found, nil
}

// References returns the objects that the object named by ref refers to, without repetitions, in the order of CompareRefs.
func (s *Set) References(ref Ref) []Ref {
	var refs []Ref
	switch ref.Kind {
	case KindGuarantee:
		if g, found := s.Guarantees[GuaranteeID(ref.Name)]; found {
			refs = append(refs,
				Ref{Kind: KindCustomer, Name: string(g.Customer)},
				Ref{Kind: KindShape, Name: string(g.Shape)},
				Ref{Kind: KindDataCentre, Name: string(g.DataCentre)})
		}
	case KindJobClass:
		c := s.JobClasses[JobClassID(ref.Name)]
		refs = classRefs(c.Customers, c.DataCentres)
	case KindRequestClass:
		c := s.RequestClasses[RequestClassID(ref.Name)]
		refs = classRefs(c.Customers, c.DataCentres)
	}
	slices.SortFunc(refs, CompareRefs)
	return slices.Compact(refs)
}

func classRefs(customers []CustomerID, dataCentres []DataCentreID) []Ref {
	var refs []Ref
	for _, name := range customers {
		refs = append(refs, Ref{Kind: KindCustomer, Name: string(name)})
	}
	for _, name := range dataCentres {
		refs = append(refs, Ref{Kind: KindDataCentre, Name: string(name)})
	}
	return refs
}
