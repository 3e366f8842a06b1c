package job

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"robinstack/internal/statekv"
)

// Prefixes of keys of the state service. The records of unfinished jobs are kept apart
// from the tombstones of finished ones (package tombstone), so that whoever takes over a
// job shard never reads the whole past.
const (
	RecordPrefix         = "robin/job/"
	CompletedChunkPrefix = "robin/part/"
	SpecFragmentPrefix   = "robin/spec/"
)

// RecordKey names a job's record.
func RecordKey(id string) string { return RecordPrefix + id }

// CompletedChunkKey names the key with a later chunk of a job's completed tasks.
func CompletedChunkKey(id string, chunk int) string {
	return fmt.Sprintf("%s%s/%d", CompletedChunkPrefix, id, chunk)
}

// SpecFragmentKey names the key with a fragment of a job's spec.
func SpecFragmentKey(id string, fragment int) string {
	return fmt.Sprintf("%s%s/%d", SpecFragmentPrefix, id, fragment)
}

// RecordSchema is the schema of job records that this build writes and reads.
const RecordSchema = 0

// Record is an unfinished job in the state service. CompletedTasks holds the completed
// tasks of the first chunk; the other chunks have keys of their own.
type Record struct {
	Schema         int    `json:"form,omitempty"`
	Spec           Spec   `json:"spec"`
	JobShard       string `json:"slot"`
	SubmittedMS    int64  `json:"submitted_ms"` // milliseconds since 1970
	CompletedTasks string `json:"done,omitempty"`

	// Failures is what is known of a job of which nothing has succeeded yet.
	Failures *FailureHistory `json:"failed,omitempty"`

	// SpecFragments is in how many keys the spec is kept; see SplitSpec. Until JoinSpec,
	// Spec has only the id and the number of tasks.
	SpecFragments int `json:"spec_pieces,omitempty"`

	// What a later build wrote beside these fields and in the spec: see KeepUnknownFields.
	UnknownFields     statekv.UnknownFields `json:"-"`
	UnknownSpecFields statekv.UnknownFields `json:"-"`
}

// FailureHistory is what a job's scheduler found out about its failures, so that its next
// scheduler need not fail it on as many machines again.
type FailureHistory struct {
	Machines    []string `json:"on"`      // on which it failed, at most MaxFailedMachines
	Consecutive int      `json:"row"`     // failures in a row
	Suspected   bool     `json:"suspect"` // the failures are attributed to the job and not to the machines
}

// MaxFailedMachines bounds the machines that a record names.
const MaxFailedMachines = 8

// MarshalJSON writes the record with what a later build wrote.
func (r Record) MarshalJSON() ([]byte, error) {
	type plain Record
	if r.SpecFragments > 0 {
		r.Spec, r.UnknownSpecFields = r.Spec.stub(), nil
	}
	if r.UnknownSpecFields == nil && r.UnknownFields == nil {
		return json.Marshal(struct{ *plain }{(*plain)(&r)})
	}
	spec := statekv.WithUnknown{Value: r.Spec, Unknown: r.UnknownSpecFields}
	return json.Marshal(statekv.WithUnknown{Unknown: r.UnknownFields, Value: struct {
		*plain
		Spec statekv.WithUnknown `json:"spec"`
	}{(*plain)(&r), spec}})
}

// SubmittedAt is when the job was accepted, by the clock of the controller that accepted
// it.
func (r *Record) SubmittedAt() time.Time { return time.UnixMilli(r.SubmittedMS) }

// KeepUnknownFields has the record keep what a later build wrote in raw, from which it was
// decoded: for those who will rewrite it. Status queries, which only read it, come
// hundreds of times a second and need not.
func (r *Record) KeepUnknownFields(raw json.RawMessage) {
	var fields struct {
		Spec json.RawMessage `json:"spec"`
	}
	if json.Unmarshal(raw, &fields) != nil {
		return
	}
	r.UnknownFields = statekv.UnknownFieldsOf(raw, r)
	if r.SpecFragments == 0 { // else JoinSpec has kept them
		r.UnknownSpecFields = statekv.UnknownFieldsOf(fields.Spec, &r.Spec)
	}
}

// ParseRecord decodes a record as the state service returned it. A *statekv.SchemaError
// says that this build does not read its schema.
func ParseRecord(raw json.RawMessage) (*Record, error) {
	var r Record
	err := json.Unmarshal(raw, &r)
	if err != nil || r.Schema > RecordSchema {
		if schemaErr := statekv.CheckSchema("a job's record", raw, RecordSchema); schemaErr != nil {
			return nil, schemaErr
		}
		return nil, fmt.Errorf("decoding job record: %w", err)
	}
	if !ValidID(r.Spec.ID) || r.Spec.Tasks < 1 || r.Spec.Tasks > MaxTasks {
		return nil, fmt.Errorf("job record of %q is damaged", r.Spec.ID)
	}
	return &r, nil
}

// AuxiliaryKeys are the keys that a job of so many tasks and spec fragments has beside its
// record.
func AuxiliaryKeys(id string, tasks, fragments int) []string {
	var keys []string
	for chunk := 1; chunk < ChunkCount(tasks); chunk++ {
		keys = append(keys, CompletedChunkKey(id, chunk))
	}
	for fragment := range fragments {
		keys = append(keys, SpecFragmentKey(id, fragment))
	}
	return keys
}

// DeleteAuxiliaryOps are changes that remove a job's auxiliary keys, n at most: what is
// left of a finished job is garbage collected later (package tombstone).
func DeleteAuxiliaryOps(id string, tasks, fragments, n int) []statekv.Op {
	keys := AuxiliaryKeys(id, tasks, fragments)
	var ops []statekv.Op
	for _, key := range keys[:min(len(keys), max(0, n))] {
		ops = append(ops, statekv.Op{Delete: key})
	}
	return ops
}

var (
	fragmentsField    = []byte(`"spec_pieces":`)
	dependenciesField = []byte(`"waits_on":`)
)

// MayHaveDependencies reports whether a stored record names jobs that it depends on, or may
// do so in its spec fragments. It only looks at the bytes: a quotation mark in any name is
// written as \", so nothing else looks like a field.
func MayHaveDependencies(raw json.RawMessage) bool {
	return bytes.Contains(raw, dependenciesField) || bytes.Contains(raw, fragmentsField)
}
