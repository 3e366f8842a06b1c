package statekv

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Rest holds the fields of a stored object that its reader does not know: a later
// version wrote them, and whoever rewrites the object has to keep them, or a
// controller of the former version would undo what the later one did, only by doing
// its work in the midst of a roll-out.
type Rest map[string]json.RawMessage

// RestOf returns the fields of raw that the struct (or pointer to one) known has no
// place for, or nil. What is no JSON object has none.
func RestOf(raw json.RawMessage, known any) Rest {
	var rest Rest
	if json.Unmarshal(raw, &rest) != nil {
		return nil
	}
	dropKnown(rest, reflect.TypeOf(known))
	if len(rest) == 0 {
		return nil
	}
	return rest
}

func dropKnown(rest Rest, t reflect.Type) {
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

// Keeping is a value that is written with the rest of the object that it replaces.
type Keeping struct {
	Value any
	Rest  Rest
}

// MarshalJSON writes the value, a JSON object, and the rest.
func (k Keeping) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal(k.Value)
	if err != nil || len(k.Rest) == 0 {
		return raw, err
	}
	all := Rest{}
	if err := json.Unmarshal(raw, &all); err != nil {
		return nil, fmt.Errorf("a value with unknown fields must be an object: %w", err)
	}
	for name, field := range k.Rest {
		if _, ours := all[name]; !ours {
			all[name] = field
		}
	}
	return json.Marshal(all)
}

// Keep returns value with what it does not know of the object that it replaces.
func Keep(was json.RawMessage, value any) any {
	if rest := RestOf(was, value); rest != nil {
		return Keeping{Value: value, Rest: rest}
	}
	return value
}

// FormOf is the form that a stored object says it has; absent means 0, the form of
// the time before there were any.
func FormOf(raw json.RawMessage) int {
	var v struct {
		Form int `json:"form"`
	}
	if json.Unmarshal(raw, &v) != nil {
		return 0
	}
	return v.Form
}

// FormError says that a value has a form that this build does not read.
type FormError struct {
	Kind        string
	Form, Known int
}

func (e *FormError) Error() string {
	return fmt.Sprintf("%s has form %d; this build reads forms up to %d", e.Kind, e.Form, e.Known)
}

// CheckForm returns a *FormError if raw has a form beyond known.
func CheckForm(kind string, raw json.RawMessage, known int) error {
	if form := FormOf(raw); form > known {
		return &FormError{kind, form, known}
	}
	return nil
}
