package model

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Set is one complete configuration. A published Set is never changed, so any goroutine may read it.
type Set struct {
	Revision       Revision
	ChangeID       ChangeID
	DataCentres    map[DataCentreID]DataCentre
	Customers      map[CustomerID]Customer
	Shapes         map[ShapeID]Shape
	Guarantees     map[GuaranteeID]Guarantee
	JobClasses     map[JobClassID]JobClass
	RequestClasses map[RequestClassID]RequestClass
	// Modified holds the revision that last changed each object.
	Modified map[Ref]Revision
}

// DecodeError reports an object that cannot be decoded.
type DecodeError struct {
	Ref   Ref
	Cause error
}

// Error names the object and the cause.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("%s %q: %v", e.Ref.Kind, e.Ref.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

var errMissingSpec = errors.New("spec is missing")

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		DataCentres:    map[DataCentreID]DataCentre{},
		Customers:      map[CustomerID]Customer{},
		Shapes:         map[ShapeID]Shape{},
		Guarantees:     map[GuaranteeID]Guarantee{},
		JobClasses:     map[JobClassID]JobClass{},
		RequestClasses: map[RequestClassID]RequestClass{},
		Modified:       map[Ref]Revision{},
	}
}

// FromObjects builds a set; it returns a DecodeError for the first object that cannot be decoded.
func FromObjects(objects []Object) (*Set, error) {
	set := NewSet()
	for _, object := range objects {
		if err := set.Put(object); err != nil {
			return nil, err
		}
	}
	return set, nil
}

// Put decodes an object into the set and replaces one of the same name; unknown fields and kinds are a DecodeError.
func (s *Set) Put(object Object) error {
	var err error
	switch object.Kind {
	case KindDataCentre:
		err = decodeSpec(s.DataCentres, object)
	case KindCustomer:
		err = decodeSpec(s.Customers, object)
	case KindShape:
		err = decodeSpec(s.Shapes, object)
	case KindGuarantee:
		err = decodeSpec(s.Guarantees, object)
	case KindJobClass:
		err = decodeSpec(s.JobClasses, object)
	case KindRequestClass:
		err = decodeSpec(s.RequestClasses, object)
	default:
		err = eris.Errorf("unknown kind %q", object.Kind)
	}
	if err != nil {
		return &DecodeError{Ref: object.Ref(), Cause: err}
	}
	s.Modified[object.Ref()] = object.Revision
	return nil
}

// Delete removes an object and reports whether it existed.
func (s *Set) Delete(ref Ref) bool {
	_, found := s.Modified[ref]
	delete(s.Modified, ref)
	switch ref.Kind {
	case KindDataCentre:
		delete(s.DataCentres, DataCentreID(ref.Name))
	case KindCustomer:
		delete(s.Customers, CustomerID(ref.Name))
	case KindShape:
		delete(s.Shapes, ShapeID(ref.Name))
	case KindGuarantee:
		delete(s.Guarantees, GuaranteeID(ref.Name))
	case KindJobClass:
		delete(s.JobClasses, JobClassID(ref.Name))
	case KindRequestClass:
		delete(s.RequestClasses, RequestClassID(ref.Name))
	}
	return found
}

// Objects returns all objects, ordered by kind and name.
func (s *Set) Objects() ([]Object, error) {
	var objects []Object
	var err error
	for _, kind := range Kinds() {
		var ofKind []Object
		switch kind {
		case KindDataCentre:
			ofKind, err = encodeObjects(s, kind, s.DataCentres)
		case KindCustomer:
			ofKind, err = encodeObjects(s, kind, s.Customers)
		case KindShape:
			ofKind, err = encodeObjects(s, kind, s.Shapes)
		case KindGuarantee:
			ofKind, err = encodeObjects(s, kind, s.Guarantees)
		case KindJobClass:
			ofKind, err = encodeObjects(s, kind, s.JobClasses)
		case KindRequestClass:
			ofKind, err = encodeObjects(s, kind, s.RequestClasses)
		}
		if err != nil {
			return nil, err
		}
		objects = append(objects, ofKind...)
	}
	return objects, nil
}

// Clone returns a copy of s; Put and Delete on the copy leave s unchanged.
func (s *Set) Clone() *Set {
	clone := *s
	clone.DataCentres = cloneMap(s.DataCentres)
	clone.Customers = cloneMap(s.Customers)
	clone.Shapes = cloneMap(s.Shapes)
	clone.Guarantees = cloneMap(s.Guarantees)
	clone.JobClasses = cloneMap(s.JobClasses)
	clone.RequestClasses = cloneMap(s.RequestClasses)
	clone.Modified = cloneMap(s.Modified)
	return &clone
}

func cloneMap[K comparable, V any](from map[K]V) map[K]V {
	to := make(map[K]V, len(from))
	for key, value := range from {
		to[key] = value
	}
	return to
}

// decodeSpec decodes an object's spec into the map of its kind; unknown fields are an error.
func decodeSpec[K ~string, V any](into map[K]V, object Object) error {
	if spec := bytes.TrimSpace(object.Spec); len(spec) == 0 || string(spec) == "null" {
		return errMissingSpec
	}
	var value V
	decoder := json.NewDecoder(bytes.NewReader(object.Spec))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return eris.Wrap(err, "decoding spec")
	}
	into[K(object.Name)] = value
	return nil
}

// encodeObjects returns the objects of one kind, ordered by name.
func encodeObjects[K ~string, V any](s *Set, kind Kind, from map[K]V) ([]Object, error) {
	objects := make([]Object, 0, len(from))
	for name, value := range from {
		spec, err := json.Marshal(value)
		if err != nil {
			return nil, &DecodeError{Ref: Ref{Kind: kind, Name: string(name)}, Cause: err}
		}
		object := Object{Kind: kind, Name: string(name), Spec: spec}
		object.Revision = s.Modified[object.Ref()]
		objects = append(objects, object)
	}
	slices.SortFunc(objects, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return objects, nil
}
