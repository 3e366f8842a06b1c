package statekv

import (
	"encoding/json"
	"fmt"
)

// SchemaOf returns the schema version that a stored object names; absent means 0, the version
// of the time before there were any.
func SchemaOf(raw json.RawMessage) int {
	var object struct {
		Schema int `json:"form"`
	}
	if json.Unmarshal(raw, &object) != nil {
		return 0
	}
	return object.Schema
}

// SchemaError says that a stored object has a schema version that this build does not read.
type SchemaError struct {
	Kind              string // what the object is
	Schema, MaxSchema int    // its version, and the latest that this build reads
}

// Error calls the version what the stored objects call it: form. The text is part of the status
// and of what the compatibility check prints.
func (e *SchemaError) Error() string {
	return fmt.Sprintf("%s has form %d; this build reads forms up to %d", e.Kind, e.Schema, e.MaxSchema)
}

// CheckSchema returns a *SchemaError if raw, an object of a kind, has a schema version above
// maxSchema.
func CheckSchema(kind string, raw json.RawMessage, maxSchema int) error {
	if schema := SchemaOf(raw); schema > maxSchema {
		return &SchemaError{Kind: kind, Schema: schema, MaxSchema: maxSchema}
	}
	return nil
}
