package statekv

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// UnknownFields holds the fields of a stored object that its reader does not know: a later
// version wrote them, and whoever rewrites the object has to keep them, or a
// controller of the former version would undo what the later one did, only by doing
// its work in the midst of a roll-out.
type UnknownFields map[string]json.RawMessage

// UnknownFieldsOf returns the fields of raw that the struct (or pointer to one) known has no
// place for, or nil. What is no JSON object has none.
func UnknownFieldsOf(raw json.RawMessage, known any) UnknownFields {
	var rest UnknownFields
	if json.Unmarshal(raw, &rest) != nil {
		return nil
	}
	dropKnown(rest, reflect.TypeOf(known))
	if len(rest) == 0 {
		return nil
	}
	return rest
}

func dropKnown(rest UnknownFields, t reflect.Type) {
	if t == nil {
		return
	}
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return
	}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous && name == "":
			dropKnown(rest, f.Type)
		case name != "":
			delete(rest, name)
		}
	}
}

// WithUnknown is a value that is written with the rest of the object that it replaces.
type WithUnknown struct {
	Value   any
	Unknown UnknownFields
}

// MarshalJSON writes the value, a JSON object, and the rest.
func (k WithUnknown) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal(k.Value)
	if err != nil || len(k.Unknown) == 0 {
		return raw, err
	}
	all := UnknownFields{}
	if err := json.Unmarshal(raw, &all); err != nil {
		return nil, fmt.Errorf("a value with unknown fields must be an object: %w", err)
	}
	for name, field := range k.Unknown {
		if _, ours := all[name]; !ours {
			all[name] = field
		}
	}
	return json.Marshal(all)
}

// PreserveUnknown returns value with what it does not know of the object that it replaces.
func PreserveUnknown(was json.RawMessage, value any) any {
	if rest := UnknownFieldsOf(was, value); rest != nil {
		return WithUnknown{Value: value, Unknown: rest}
	}
	return value
}

// SchemaOf is the form that a stored object says it has; absent means 0, the form of
// the time before there were any.
func SchemaOf(raw json.RawMessage) int {
	var v struct {
		Form int `json:"form"`
	}
	if json.Unmarshal(raw, &v) != nil {
		return 0
	}
	return v.Form
}

// SchemaError says that a value has a form that this build does not read.
type SchemaError struct {
	Kind              string
	Schema, MaxSchema int
}

func (e *SchemaError) Error() string {
	return fmt.Sprintf("%s has form %d; this build reads forms up to %d", e.Kind, e.Schema, e.MaxSchema)
}

// CheckSchema returns a *SchemaError if raw has a form beyond known.
func CheckSchema(kind string, raw json.RawMessage, known int) error {
	if form := SchemaOf(raw); form > known {
		return &SchemaError{kind, form, known}
	}
	return nil
}
