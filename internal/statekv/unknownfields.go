package statekv

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// UnknownFields holds, by name, the fields of a stored object that its reader does not know because
// a later version wrote them. Whoever rewrites the object has to preserve them. Otherwise, during a
// rolling upgrade, a controller with the former version would undo changes of the later version in
// its normal operation.
type UnknownFields map[string]json.RawMessage

// UnknownFieldsOf returns the fields of the JSON object raw that have no counterpart in the type of
// known, a struct or a pointer to a struct. It returns nil if there are none or if raw is not a
// JSON object.
func UnknownFieldsOf(raw json.RawMessage, known any) UnknownFields {
	var fields UnknownFields
	if json.Unmarshal(raw, &fields) != nil {
		return nil
	}
	fields.dropKnown(reflect.TypeOf(known))
	if len(fields) == 0 {
		return nil
	}
	return fields
}

// dropKnown removes the fields that have a counterpart in a struct type or pointer to a struct
// type.
func (u UnknownFields) dropKnown(known reflect.Type) {
	if known == nil {
		return
	}
	if known.Kind() == reflect.Pointer {
		known = known.Elem()
	}
	if known.Kind() != reflect.Struct {
		return
	}
	for i := range known.NumField() {
		field := known.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case field.Anonymous && name == "":
			u.dropKnown(field.Type)
		case name != "":
			delete(u, name)
		}
	}
}

// ValueWithUnknownFields is a value that is written together with the unknown fields of the object
// that it replaces.
type ValueWithUnknownFields struct {
	Value   any
	Unknown UnknownFields
}

// MarshalJSON writes the value, which must be a JSON object, with the unknown fields. The value's
// own fields take precedence.
func (w ValueWithUnknownFields) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal(w.Value)
	if err != nil || len(w.Unknown) == 0 {
		return raw, err
	}
	fields := UnknownFields{}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, fmt.Errorf("a value with unknown fields must be an object: %w", err)
	}
	for name, field := range w.Unknown {
		if _, own := fields[name]; !own {
			fields[name] = field
		}
	}
	return json.Marshal(fields)
}

// PreserveUnknownFields returns value together with the unknown fields of the object that it
// replaces.
func PreserveUnknownFields(replaced json.RawMessage, value any) any {
	if unknown := UnknownFieldsOf(replaced, value); unknown != nil {
		return ValueWithUnknownFields{Value: value, Unknown: unknown}
	}
	return value
}
