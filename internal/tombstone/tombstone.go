// Package tombstone owns the tombstones: the final records of finished jobs. They are kept
// for ever, so they are small and no controller mirrors them; a tombstone never changes
// what it says, so what was read once may be answered from a cache at any time.
//
// They have two formats. The legacy one is an object under robin/final/; the compact one,
// two fifths of its size, a list under robin/ended/ that begins with its schema. Which of
// them are written depends on the cluster version (package rollout); both are always read.
// A job has at most one tombstone, whatever its formats: whoever writes one has the compare
// that the job's record is as it was seen, and deletes the record with it.
//
// State: a BatchedLookup holds the queue of the lookups that wait, guarded by its mutex,
// which is not held over I/O. A GarbageCollector holds none.
//
// The package may import job and statekv.
package tombstone

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// Prefixes of the keys of the legacy and of the compact format.
const (
	LegacyPrefix = "robin/final/"
	Prefix       = "robin/ended/"
)

// Schema is the schema of the compact format.
const Schema = 1

// schemaSubject names tombstones in errors about their schema.
const schemaSubject = "an ended job's record"

// LegacyKey names the legacy tombstone of a job.
func LegacyKey(id string) string { return LegacyPrefix + id }

// Key names the compact tombstone of a job.
func Key(id string) string { return Prefix + id }

// Tombstone is what remains of a finished job.
type Tombstone struct {
	Status string // job.Done or job.Cancelled
	Tasks  int

	// CompletedAtMS is when the job was found to be done, in milliseconds since 1970 by the
	// clock of the controller that recorded it: jobs that depend on it count their times
	// from then. 0: not known; an earlier build recorded it, or it was cancelled.
	CompletedAtMS int64
}

// CompletedAt is when the job was found to be done, or the zero time.
func (t Tombstone) CompletedAt() time.Time {
	if t.CompletedAtMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(t.CompletedAtMS)
}

// legacyTombstone is the legacy format.
type legacyTombstone struct {
	Status        string `json:"status"`
	Tasks         int    `json:"tasks"`
	CompletedAtMS int64  `json:"ended_ms,omitempty"`
}

// compactStatuses are the statuses in the compact format.
var compactStatuses = map[string]string{job.Done: "d", job.Cancelled: "w"}

// Formats says in which formats tombstones are written.
type Formats int

const (
	// LegacyOnly writes the legacy format, for clusters with builds that know no other.
	LegacyOnly Formats = iota
	// LegacyAndCompact writes both, so that either may be given up.
	LegacyAndCompact
	// CompactOnly writes the compact format.
	CompactOnly
)

// WriteOps are the changes that write a tombstone.
func WriteOps(id string, t Tombstone, formats Formats) []statekv.Op {
	var ops []statekv.Op
	if formats != CompactOnly {
		ops = append(ops, statekv.Op{Set: LegacyKey(id), Value: legacyTombstone(t)})
	}
	if formats != LegacyOnly {
		ops = append(ops, statekv.Op{Set: Key(id), Value: t.compact()})
	}
	return ops
}

// compact returns the value of the compact format.
func (t Tombstone) compact() []any {
	list := []any{Schema, compactStatuses[t.Status], t.Tasks}
	if t.CompletedAtMS != 0 {
		list = append(list, t.CompletedAtMS) // readers of this schema never minded more entries
	}
	return list
}

// AbsentCompares are the compares that a job has no tombstone.
func AbsentCompares(id string) []statekv.Compare {
	return []statekv.Compare{{Key: LegacyKey(id)}, {Key: Key(id)}}
}

// Parse decodes a tombstone by its key. ok is false where the key is no tombstone's. An
// error says that the value is damaged or has a schema that this build does not read; a
// *statekv.SchemaError is the latter.
func Parse(key string, raw json.RawMessage) (id string, t Tombstone, ok bool, err error) {
	if id, ok = strings.CutPrefix(key, LegacyPrefix); ok {
		t, err = parseLegacy(raw)
	} else if id, ok = strings.CutPrefix(key, Prefix); ok {
		t, err = parseCompact(raw)
	} else {
		return "", Tombstone{}, false, nil
	}
	if err == nil && !t.valid() {
		err = errors.New("no final status, or no number of tasks")
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", key, err)
	}
	return id, t, true, err
}

func (t Tombstone) valid() bool {
	return compactStatuses[t.Status] != "" && t.Tasks >= 1 && t.Tasks <= job.MaxTasks
}

func parseLegacy(raw json.RawMessage) (Tombstone, error) {
	if err := statekv.CheckSchema(schemaSubject, raw, 0); err != nil {
		return Tombstone{}, err
	}
	var legacy legacyTombstone
	err := json.Unmarshal(raw, &legacy)
	return Tombstone(legacy), err
}

func parseCompact(raw json.RawMessage) (t Tombstone, err error) {
	var list []json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil || len(list) == 0 {
		return t, errors.New("is no list")
	}
	var schema int
	if err := json.Unmarshal(list[0], &schema); err != nil {
		return t, fmt.Errorf("its form: %w", err)
	}
	if schema != Schema {
		return t, &statekv.SchemaError{Kind: schemaSubject, Schema: schema, MaxSchema: Schema}
	}
	var letter string
	if len(list) < 3 || json.Unmarshal(list[1], &letter) != nil || json.Unmarshal(list[2], &t.Tasks) != nil {
		return t, errors.New("is not form, status and tasks")
	}
	if len(list) > 3 && json.Unmarshal(list[3], &t.CompletedAtMS) != nil {
		return t, errors.New("its time is no number")
	}
	for status, l := range compactStatuses {
		if l == letter {
			t.Status = status
		}
	}
	return t, nil
}

// Change is the writing of a tombstone, or why it cannot be decoded.
type Change struct {
	ID string
	Tombstone
	Err error
}

// ParseChange is Parse for a mirror: a Change, or nil where the key is no tombstone's.
func ParseChange(key string, raw json.RawMessage) any {
	id, t, ok, err := Parse(key, raw)
	if !ok {
		return nil
	}
	return Change{id, t, err}
}

// ChangeOf returns the writing of a tombstone; ok is false where an event is none. A mirror
// that parses with ParseChange has decoded it already.
func ChangeOf(e statekv.Event) (c Change, ok bool) {
	if e.Parsed == nil {
		e.Parsed = ParseChange(e.Set, e.Value)
	}
	c, ok = e.Parsed.(Change)
	return c, ok
}
