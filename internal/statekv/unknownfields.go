package statekv

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// UnknownFields holds the fields of a stored object that its reader does not know, by name: a
// later version wrote them. Whoever rewrites the object has to preserve them, or a controller
// of the former version would undo what the later one did, only by doing its work in the midst
// of a rolling upgrade.
type UnknownFields map[string]json.RawMessage

// UnknownFieldsOf returns the fields of raw that the struct (or pointer to one) known has no
// place for, or nil. What is no JSON object has none.
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

// dropKnown removes the fields that a struct type, or a pointer to one, has a place for.
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

// WithUnknown is a value that is written with the unknown fields of the object that it replaces.
type WithUnknown struct {
	Value   any
	Unknown UnknownFields
}

// MarshalJSON writes the value, a JSON object, and the unknown fields. The value's own fields
// go before.
func (w WithUnknown) MarshalJSON() ([]byte, error) {
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

// PreserveUnknown returns value with the fields that it does not know of the object that it
// replaces.
func PreserveUnknown(replaced json.RawMessage, value any) any {
	if unknown := UnknownFieldsOf(replaced, value); unknown != nil {
		return WithUnknown{Value: value, Unknown: unknown}
	}
	return value
}
