package model

import (
	"encoding/json"
	"slices"
	"strings"
)

// Action states how an object differs between two sets.
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
	oldSpecs, err := specsByRef(before)
	if err != nil {
		return nil, err
	}
	newSpecs, err := specsByRef(after)
	if err != nil {
		return nil, err
	}
	var differences []Difference
	for ref, spec := range newSpecs {
		oldSpec, found := oldSpecs[ref]
		switch {
		case !found:
			differences = append(differences, Difference{Ref: ref, Action: ActionAdded, After: spec})
		case string(oldSpec) != string(spec):
			differences = append(differences, Difference{Ref: ref, Action: ActionChanged, Before: oldSpec, After: spec})
		}
	}
	for ref, spec := range oldSpecs {
		if _, found := newSpecs[ref]; !found {
			differences = append(differences, Difference{Ref: ref, Action: ActionRemoved, Before: spec})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int { return CompareRefs(a.Ref, b.Ref) })
	return differences, nil
}

// CompareRefs orders references by kind, as in Kinds, and then by name.
func CompareRefs(a, b Ref) int {
	kinds := Kinds()
	if kindOrder := slices.Index(kinds, a.Kind) - slices.Index(kinds, b.Kind); kindOrder != 0 {
		return kindOrder
	}
	return strings.Compare(a.Name, b.Name)
}

// specsByRef returns the encoded spec of each object; a nil set is empty.
func specsByRef(set *Set) (map[Ref]json.RawMessage, error) {
	specs := map[Ref]json.RawMessage{}
	if set == nil {
		return specs, nil
	}
	objects, err := set.Objects()
	if err != nil {
		return nil, err
	}
	for _, object := range objects {
		specs[object.Ref()] = object.Spec
	}
	return specs, nil
}

// References returns the objects that the object named by ref refers to, without duplicates, in the order of CompareRefs.
func (s *Set) References(ref Ref) []Ref {
	var refs []Ref
	switch ref.Kind {
	case KindGuarantee:
		if guarantee, found := s.Guarantees[GuaranteeID(ref.Name)]; found {
			refs = append(refs,
				Ref{Kind: KindCustomer, Name: string(guarantee.Customer)},
				Ref{Kind: KindShape, Name: string(guarantee.Shape)},
				Ref{Kind: KindDataCentre, Name: string(guarantee.DataCentre)})
		}
	case KindJobClass:
		class := s.JobClasses[JobClassID(ref.Name)]
		refs = classRefs(class.Customers, class.DataCentres)
	case KindRequestClass:
		class := s.RequestClasses[RequestClassID(ref.Name)]
		refs = classRefs(class.Customers, class.DataCentres)
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
