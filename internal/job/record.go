package job

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/bits"
	"time"

	"robinstack/internal/statekv"
)

// Keys of the state service. Open jobs and ended ones (package ended) are kept
// apart, so that adopting a slot never reads the whole past.
const (
	RecordPrefix         = "robin/job/"
	CompletedChunkPrefix = "robin/part/"
)

// RecordSchema is the form of job records that this build writes and reads.
const RecordSchema = 0

// Record is an unfinished job in the state service. Done holds the finished
// tasks of the first chunk; the other chunks have keys of their own.
type Record struct {
	Schema         int    `json:"form,omitempty"`
	Spec           Spec   `json:"spec"`
	JobShard       string `json:"slot"`
	SubmittedMS    int64  `json:"submitted_ms"`
	CompletedTasks string `json:"done,omitempty"`

	// Failures is what is known of a job of which nothing has succeeded yet.
	Failures *FailureHistory `json:"failed,omitempty"`

	// SpecFragments is in how many keys the spec is kept; see Split. Until it is joined, Spec
	// has only the id and the number of tasks.
	SpecFragments int `json:"spec_pieces,omitempty"`

	// What a later version wrote, beside these and in the spec: see Keep.
	UnknownFields     statekv.UnknownFields `json:"-"`
	UnknownSpecFields statekv.UnknownFields `json:"-"`
}

// FailureHistory are what a job's placer found out about it, so that its next placer need
// not fail it on as many machines again.
type FailureHistory struct {
	Machines    []string `json:"on"`      // machines on which it failed, at most MaxFailedMachines of them
	Consecutive int      `json:"row"`     // failures in a row
	Suspected   bool     `json:"suspect"` // it is at fault, and not they
}

// MaxFailedMachines bounds the machines that a record names.
const MaxFailedMachines = 8

// MarshalJSON writes the record with what a later version wrote.
func (r Record) MarshalJSON() ([]byte, error) {
	type plain Record
	if r.SpecFragments > 0 {
		r.Spec, r.UnknownSpecFields = r.Spec.stub(), nil
	}
	if r.UnknownSpecFields == nil && r.UnknownFields == nil {
		return json.Marshal(struct{ *plain }{(*plain)(&r)})
	}
	return json.Marshal(statekv.WithUnknown{Unknown: r.UnknownFields, Value: struct {
		*plain
		Spec statekv.WithUnknown `json:"spec"`
	}{(*plain)(&r), statekv.WithUnknown{Value: r.Spec, Unknown: r.UnknownSpecFields}}})
}

// SubmittedAt is when the job was accepted, by the clock of the controller
// that accepted it.
func (r *Record) SubmittedAt() time.Time { return time.UnixMilli(r.SubmittedMS) }

// RecordKey names a job's record.
func RecordKey(id string) string { return RecordPrefix + id }

// CompletedChunkKey names the key with a later chunk of a job's finished tasks.
func CompletedChunkKey(id string, chunk int) string {
	return fmt.Sprintf("%s%s/%d", CompletedChunkPrefix, id, chunk)
}

// TasksPerChunk is how many tasks one chunk of finished tasks covers: in base64
// it stays well under half of any value limit, beside the spec.
const TasksPerChunk = 8192

// ChunkCount is the number of chunks for a job of so many tasks.
func ChunkCount(tasks int) int { return (tasks + TasksPerChunk - 1) / TasksPerChunk }

// TaskBitmap is a set of task indices.
type TaskBitmap struct{ words []uint64 }

// NewTaskBitmap returns an empty set for indices below n.
func NewTaskBitmap(n int) TaskBitmap { return TaskBitmap{words: make([]uint64, (n+63)/64)} }

// Has reports whether i is in the set.
func (s TaskBitmap) Has(i int) bool { return s.words[i/64]&(1<<(i%64)) != 0 }

// Add puts i into the set.
func (s TaskBitmap) Add(i int) { s.words[i/64] |= 1 << (i % 64) }

// Len is the number of indices in the set.
func (s TaskBitmap) Len() int {
	n := 0
	for _, w := range s.words {
		n += bits.OnesCount64(w)
	}
	return n
}

// EncodeChunk encodes one chunk of the set.
func (s TaskBitmap) EncodeChunk(k int) string {
	var out []byte
	end := 0
	for i := k * TasksPerChunk / 64; i < len(s.words) && i < (k+1)*TasksPerChunk/64; i++ {
		for b := range 8 {
			out = append(out, byte(s.words[i]>>(8*b)))
			if out[len(out)-1] != 0 {
				end = len(out)
			}
		}
	}
	return base64.RawStdEncoding.EncodeToString(out[:end])
}

// LoadChunk adds an encoded chunk to the set.
func (s TaskBitmap) LoadChunk(k int, chunk string) error {
	raw, err := base64.RawStdEncoding.DecodeString(chunk)
	if err != nil {
		return fmt.Errorf("decoding finished tasks: %w", err)
	}
	for i, b := range raw {
		if w := k*TasksPerChunk/64 + i/8; w < len(s.words) {
			s.words[w] |= uint64(b) << (8 * (i % 8))
		}
	}
	return nil
}

// KeepUnknownFields has the record keep what a later version wrote in raw, as which it was read: for
// those who will rewrite it. Questions, which only read it, come hundreds of times a
// second.
func (r *Record) KeepUnknownFields(raw json.RawMessage) {
	var parts struct {
		Spec json.RawMessage `json:"spec"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return
	}
	r.UnknownFields = statekv.UnknownFieldsOf(raw, r)
	if r.SpecFragments == 0 { // else Join has seen to it
		r.UnknownSpecFields = statekv.UnknownFieldsOf(parts.Spec, &r.Spec)
	}
}

// ParseRecord reads a record as the state service returned it.
func ParseRecord(raw json.RawMessage) (*Record, error) {
	var r Record
	err := json.Unmarshal(raw, &r)
	if err != nil || r.Schema > RecordSchema {
		if later := statekv.CheckSchema("a job's record", raw, RecordSchema); later != nil {
			return nil, later
		}
		return nil, fmt.Errorf("decoding job record: %w", err)
	}
	if !ValidID(r.Spec.ID) || r.Spec.Tasks < 1 || r.Spec.Tasks > MaxTasks {
		return nil, fmt.Errorf("job record of %q is damaged", r.Spec.ID)
	}
	return &r, nil
}
