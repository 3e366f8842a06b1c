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
	OpenPrefix = "robin/job/"
	PartPrefix = "robin/part/"
)

// RecordForm is the form of job records that this build writes and reads.
const RecordForm = 0

// Record is an unfinished job in the state service. Done holds the finished
// tasks of the first chunk; the other chunks have keys of their own.
type Record struct {
	Form      int    `json:"form,omitempty"`
	Spec      Spec   `json:"spec"`
	Slot      string `json:"slot"`
	Submitted int64  `json:"submitted_ms"`
	Done      string `json:"done,omitempty"`

	// Failed is what is known of a job of which nothing has succeeded yet.
	Failed *Failures `json:"failed,omitempty"`

	// Pieces is in how many keys the spec is kept; see Split. Until it is joined, Spec
	// has only the id and the number of tasks.
	Pieces int `json:"spec_pieces,omitempty"`

	// What a later version wrote, beside these and in the spec: see Keep.
	Rest     statekv.UnknownFields `json:"-"`
	SpecRest statekv.UnknownFields `json:"-"`
}

// Failures are what a job's placer found out about it, so that its next placer need
// not fail it on as many machines again.
type Failures struct {
	On      []string `json:"on"`      // machines on which it failed, at most MostFailedOn of them
	Row     int      `json:"row"`     // failures in a row
	Suspect bool     `json:"suspect"` // it is at fault, and not they
}

// MostFailedOn bounds the machines that a record names.
const MostFailedOn = 8

// MarshalJSON writes the record with what a later version wrote.
func (r Record) MarshalJSON() ([]byte, error) {
	type plain Record
	if r.Pieces > 0 {
		r.Spec, r.SpecRest = r.Spec.stub(), nil
	}
	if r.SpecRest == nil && r.Rest == nil {
		return json.Marshal(struct{ *plain }{(*plain)(&r)})
	}
	return json.Marshal(statekv.WithUnknown{Unknown: r.Rest, Value: struct {
		*plain
		Spec statekv.WithUnknown `json:"spec"`
	}{(*plain)(&r), statekv.WithUnknown{Value: r.Spec, Unknown: r.SpecRest}}})
}

// SubmittedAt is when the job was accepted, by the clock of the controller
// that accepted it.
func (r *Record) SubmittedAt() time.Time { return time.UnixMilli(r.Submitted) }

// OpenKey names a job's record.
func OpenKey(id string) string { return OpenPrefix + id }

// PartKey names the key with a later chunk of a job's finished tasks.
func PartKey(id string, chunk int) string { return fmt.Sprintf("%s%s/%d", PartPrefix, id, chunk) }

// ChunkTasks is how many tasks one chunk of finished tasks covers: in base64
// it stays well under half of any value limit, beside the spec.
const ChunkTasks = 8192

// Chunks is the number of chunks for a job of so many tasks.
func Chunks(tasks int) int { return (tasks + ChunkTasks - 1) / ChunkTasks }

// Set is a set of task indices.
type Set struct{ words []uint64 }

// NewSet returns an empty set for indices below n.
func NewSet(n int) Set { return Set{words: make([]uint64, (n+63)/64)} }

// Has reports whether i is in the set.
func (s Set) Has(i int) bool { return s.words[i/64]&(1<<(i%64)) != 0 }

// Add puts i into the set.
func (s Set) Add(i int) { s.words[i/64] |= 1 << (i % 64) }

// Len is the number of indices in the set.
func (s Set) Len() int {
	n := 0
	for _, w := range s.words {
		n += bits.OnesCount64(w)
	}
	return n
}

// Chunk encodes one chunk of the set.
func (s Set) Chunk(k int) string {
	var out []byte
	end := 0
	for i := k * ChunkTasks / 64; i < len(s.words) && i < (k+1)*ChunkTasks/64; i++ {
		for b := range 8 {
			out = append(out, byte(s.words[i]>>(8*b)))
			if out[len(out)-1] != 0 {
				end = len(out)
			}
		}
	}
	return base64.RawStdEncoding.EncodeToString(out[:end])
}

// Load adds an encoded chunk to the set.
func (s Set) Load(k int, chunk string) error {
	raw, err := base64.RawStdEncoding.DecodeString(chunk)
	if err != nil {
		return fmt.Errorf("decoding finished tasks: %w", err)
	}
	for i, b := range raw {
		if w := k*ChunkTasks/64 + i/8; w < len(s.words) {
			s.words[w] |= uint64(b) << (8 * (i % 8))
		}
	}
	return nil
}

// Keep has the record keep what a later version wrote in raw, as which it was read: for
// those who will rewrite it. Questions, which only read it, come hundreds of times a
// second.
func (r *Record) Keep(raw json.RawMessage) {
	var parts struct {
		Spec json.RawMessage `json:"spec"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return
	}
	r.Rest = statekv.UnknownFieldsOf(raw, r)
	if r.Pieces == 0 { // else Join has seen to it
		r.SpecRest = statekv.UnknownFieldsOf(parts.Spec, &r.Spec)
	}
}

// ParseRecord reads a record as the state service returned it.
func ParseRecord(raw json.RawMessage) (*Record, error) {
	var r Record
	err := json.Unmarshal(raw, &r)
	if err != nil || r.Form > RecordForm {
		if later := statekv.CheckSchema("a job's record", raw, RecordForm); later != nil {
			return nil, later
		}
		return nil, fmt.Errorf("decoding job record: %w", err)
	}
	if !ValidID(r.Spec.ID) || r.Spec.Tasks < 1 || r.Spec.Tasks > MaxTasks {
		return nil, fmt.Errorf("job record of %q is damaged", r.Spec.ID)
	}
	return &r, nil
}
