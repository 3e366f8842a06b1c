package job

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"robinstack/internal/statekv"
)

// Key prefixes in the state service. The records of unfinished jobs and the tombstones of finished
// jobs (package tombstone) have different prefixes, so that a controller that takes over a job
// shard does not read the records of all past jobs.
const (
	RecordPrefix         = "robin/job/"
	CompletedChunkPrefix = "robin/part/"
	SpecFragmentPrefix   = "robin/spec/"
)

// RecordKey returns the key of a job's record.
func RecordKey(id string) string { return RecordPrefix + id }

// CompletedChunkKey returns the key of a chunk of a job's completed tasks. Chunk 0 has no key: it
// is part of the record.
func CompletedChunkKey(id string, chunk int) string {
	return fmt.Sprintf("%s%s/%d", CompletedChunkPrefix, id, chunk)
}

// SpecFragmentKey returns the key of a fragment of a job's spec.
func SpecFragmentKey(id string, fragment int) string {
	return fmt.Sprintf("%s%s/%d", SpecFragmentPrefix, id, fragment)
}

// RecordSchema is the schema version of the job records that this build writes, and the latest
// version that it reads.
const RecordSchema = 0

// Record is the state of an unfinished job in the state service. CompletedTasks holds the first
// chunk of the completed tasks; the other chunks have keys of their own.
type Record struct {
	Schema         int    `json:"form,omitempty"`
	Spec           Spec   `json:"spec"`
	JobShard       string `json:"slot"`
	SubmittedMS    int64  `json:"submitted_ms"` // Unix time in milliseconds
	CompletedTasks string `json:"done,omitempty"`

	// Failures is the failure history of a job none of whose tasks has succeeded yet.
	Failures *FailureHistory `json:"failed,omitempty"`

	// SpecFragments is the number of fragments that the spec is split into, or 0 if it is not
	// split; see SplitSpec. The Spec of a record with fragments has only the id and the number of
	// tasks until JoinSpec is called.
	SpecFragments int `json:"spec_pieces,omitempty"`

	// Fields of the record and of its spec that a later build wrote; see KeepUnknownFields.
	UnknownFields     statekv.UnknownFields `json:"-"`
	UnknownSpecFields statekv.UnknownFields `json:"-"`
}

// FailureHistory is what a job's scheduler has learned from the failures of the job. It is stored
// so that a scheduler that takes over the job does not have to learn it again, by letting the job
// fail on as many machines.
type FailureHistory struct {
	Machines    []string `json:"on"`      // machines on which the job failed, at most MaxFailedMachines
	Consecutive int      `json:"row"`     // number of consecutive failures
	Suspected   bool     `json:"suspect"` // the failures are attributed to the job, not to the machines
}

// MaxFailedMachines is the largest number of machines in a failure history.
const MaxFailedMachines = 8

// MarshalJSON encodes the record with the unknown fields of a later build. A spec that is split
// into fragments is encoded with its id and number of tasks only.
func (r Record) MarshalJSON() ([]byte, error) {
	type plain Record // has no MarshalJSON that would call itself
	if r.SpecFragments > 0 {
		r.Spec, r.UnknownSpecFields = r.Spec.stub(), nil
	}
	if r.UnknownSpecFields == nil && r.UnknownFields == nil {
		return json.Marshal(struct{ *plain }{(*plain)(&r)})
	}
	spec := statekv.ValueWithUnknownFields{Value: r.Spec, Unknown: r.UnknownSpecFields}
	return json.Marshal(statekv.ValueWithUnknownFields{Unknown: r.UnknownFields, Value: struct {
		*plain
		Spec statekv.ValueWithUnknownFields `json:"spec"`
	}{(*plain)(&r), spec}})
}

// SubmittedAt returns when the job was accepted, by the clock of the controller that accepted it.
func (r *Record) SubmittedAt() time.Time { return time.UnixMilli(r.SubmittedMS) }

// KeepUnknownFields stores in the record the fields that a later build wrote to raw, the JSON from
// which the record was decoded. Callers that rewrite the record need this so that they preserve
// these fields. ParseRecord does not do it, because status queries arrive hundreds of times a
// second and only read the record.
func (r *Record) KeepUnknownFields(raw json.RawMessage) {
	var fields struct {
		Spec json.RawMessage `json:"spec"`
	}
	if json.Unmarshal(raw, &fields) != nil {
		return
	}
	r.UnknownFields = statekv.UnknownFieldsOf(raw, r)
	if r.SpecFragments == 0 { // JoinSpec has already stored those of a split spec
		r.UnknownSpecFields = statekv.UnknownFieldsOf(fields.Spec, &r.Spec)
	}
}

// ParseRecord decodes a record as returned by the state service. The error is a
// *statekv.SchemaError if this build does not read the record's schema version.
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

// AuxiliaryKeys returns the keys that a job with the given numbers of tasks and spec fragments may
// have beside its record.
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

// DeleteAuxiliaryOps returns operations that delete at most maxOps of a job's auxiliary keys. Keys
// that are left after the job has finished are garbage collected (package tombstone).
func DeleteAuxiliaryOps(id string, tasks, fragments, maxOps int) []statekv.Op {
	keys := AuxiliaryKeys(id, tasks, fragments)
	var ops []statekv.Op
	for _, key := range keys[:min(len(keys), max(0, maxOps))] {
		ops = append(ops, statekv.Op{Delete: key})
	}
	return ops
}

var (
	fragmentsField    = []byte(`"spec_pieces":`)
	dependenciesField = []byte(`"waits_on":`)
)

// MayHaveDependencies reports whether a stored record has dependencies, or may have them in its
// spec fragments. It only searches the encoded record for the names of the fields. A string value
// cannot contain such a match, because quotation marks in strings are escaped.
func MayHaveDependencies(raw json.RawMessage) bool {
	return bytes.Contains(raw, dependenciesField) || bytes.Contains(raw, fragmentsField)
}
