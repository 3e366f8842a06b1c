package statekv

import (
	"encoding/json"
	"fmt"
)

// SchemaOf returns the schema version of a stored object. Objects without a version have version 0.
func SchemaOf(raw json.RawMessage) int {
	var object struct {
		Schema int `json:"form"`
	}
	if json.Unmarshal(raw, &object) != nil {
		return 0
	}
	return object.Schema
}

// SchemaError reports that a stored object has a schema version that this build cannot read.
type SchemaError struct {
	Kind              string // kind of object
	Schema, MaxSchema int    // version of the object, and latest version that this build reads
}

// Error calls the schema version by its name in stored objects, "form". The text is part of the
// status and of the output of the compatibility check.
func (e *SchemaError) Error() string {
	return fmt.Sprintf("%s has form %d; this build reads forms up to %d", e.Kind, e.Schema, e.MaxSchema)
}

// CheckSchema returns a *SchemaError if the object raw, of the given kind, has a schema version
// above maxSchema.
func CheckSchema(kind string, raw json.RawMessage, maxSchema int) error {
	if schema := SchemaOf(raw); schema > maxSchema {
		return &SchemaError{Kind: kind, Schema: schema, MaxSchema: maxSchema}
	}
	return nil
}
