package jsonc

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// decode stores value in target and records each problem; it continues after a problem so that all are found.
func (d *Document) decode(field string, value *hujson.Value, target reflect.Value) {
	if field != "" {
		d.values[field] = value
	}
	if _, ok := target.Addr().Interface().(json.Unmarshaler); ok {
		d.leaf(field, value, target)
		return
	}
	if literal, ok := value.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		d.Report(field, "null is not a value; leave the field out to get its default")
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.object(field, value, target)
	case reflect.Slice:
		d.array(field, value, target)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decode(field, value, target.Elem())
	default:
		d.leaf(field, value, target)
	}
}

// object decodes the members of an object into the fields of a struct.
func (d *Document) object(field string, value *hujson.Value, target reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.Report(field, "an object is expected, not %s", describeValue(value))
		return
	}
	names := fieldNames(target.Type())
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(&member.Name)
		path := joinPath(field, name)
		index, known := names[name]
		switch {
		case seen[name]:
			d.addProblem(member.Name.StartOffset, path, "the field is given twice")
		case !known:
			d.addProblem(member.Name.StartOffset, path, "the field does not exist"+knownFieldsHint(names))
		default:
			d.decode(path, &member.Value, target.Field(index))
		}
		seen[name] = true
	}
}

// array decodes a list into a new slice.
func (d *Document) array(field string, value *hujson.Value, target reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.Report(field, "a list is expected, not %s", describeValue(value))
		return
	}
	slice := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decode(fmt.Sprintf("%s[%d]", field, i), &array.Elements[i], slice.Index(i))
	}
	target.Set(slice)
}

// leaf decodes a value as encoding/json does, after comments and trailing commas are removed.
func (d *Document) leaf(field string, value *hujson.Value, target reflect.Value) {
	standard := value.Clone()
	standard.Standardize()
	standard.Minimize()
	err := json.Unmarshal(standard.Pack(), target.Addr().Interface())
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
	case errors.As(err, &wrongType):
		d.Report(field, "a %s is expected, not %s", kindName(target.Kind()), describeValue(value))
	default:
		d.Report(field, "%v", err)
	}
}

// fieldNames maps the JSON names of the fields of a struct to their indexes; fields without a JSON name are left out.
func fieldNames(structure reflect.Type) map[string]int {
	names := map[string]int{}
	for i := range structure.NumField() {
		name, _, _ := strings.Cut(structure.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			names[name] = i
		}
	}
	return names
}

// knownFieldsHint returns the end of a message, with the known fields in order.
func knownFieldsHint(names map[string]int) string {
	known := make([]string, 0, len(names))
	for name := range names {
		known = append(known, name)
	}
	slices.Sort(known)
	return "; known fields are " + strings.Join(known, ", ")
}

// memberName returns the name of an object's member.
func memberName(value *hujson.Value) string {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

// joinPath returns the path of a member of field.
func joinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// describeValue describes a value for messages: a literal by its text, and others by their type.
func describeValue(value *hujson.Value) string {
	switch v := value.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	default:
		return string(v.(hujson.Literal))
	}
}

// kindName describes the values of a kind for messages.
func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "number"
	default:
		return "whole number in range"
	}
}
