// Package tombstone manages tombstones, the final records of finished jobs. Tombstones are kept
// forever, so they are small and are not mirrored by controllers. The content of a tombstone never
// changes, so a cached copy never becomes stale.
//
// There are two formats. A legacy tombstone is a JSON object under robin/final/. A compact
// tombstone is a JSON list under robin/ended/ that begins with its schema version; it takes two
// fifths of the size of a legacy one. The cluster version (package rollout) determines which
// formats are written. Both are always read. A job has at most one tombstone, in one or both
// formats: the transaction that writes it compares the revision of the job's record and deletes
// that record.
//
// A BatchedLookup keeps a queue of pending lookups. Its mutex guards the queue and is not held
// during I/O. A GarbageCollector keeps no state.
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

// Key prefixes of the legacy and of the compact format.
const (
	LegacyPrefix = "robin/final/"
	Prefix       = "robin/ended/"
)

// Schema is the schema version of the compact format.
const Schema = 1

// schemaSubject names a tombstone in the texts of schema errors.
const schemaSubject = "an ended job's record"

// LegacyKey returns the key of a job's tombstone in the legacy format.
func LegacyKey(id string) string { return LegacyPrefix + id }

// Key returns the key of a job's tombstone in the compact format.
func Key(id string) string { return Prefix + id }

// Tombstone is the final record of a finished job.
type Tombstone struct {
	Status string // job.Done or job.Cancelled
	Tasks  int

	// CompletedAtMS is when the job was found to be done, as a Unix time in milliseconds by the
	// clock of the controller that recorded it. The ages and deadlines of jobs that depend on this
	// one count from then. It is 0 for cancelled jobs, and if the time is unknown because an
	// earlier build wrote the tombstone.
	CompletedAtMS int64
}

// CompletedAt returns when the job was found to be done, or the zero time if that is unknown.
func (t Tombstone) CompletedAt() time.Time {
	if t.CompletedAtMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(t.CompletedAtMS)
}

// legacyTombstone is a tombstone in the legacy format.
type legacyTombstone struct {
	Status        string `json:"status"`
	Tasks         int    `json:"tasks"`
	CompletedAtMS int64  `json:"ended_ms,omitempty"`
}

// compactStatusCodes maps final statuses to their codes in the compact format.
var compactStatusCodes = map[string]string{job.Done: "d", job.Cancelled: "w"}

// Formats selects the formats in which tombstones are written.
type Formats int

const (
	// LegacyOnly writes the legacy format, for clusters with builds that do not read the compact
	// one.
	LegacyOnly Formats = iota
	// LegacyAndCompact writes both formats, so that either one can be dropped later.
	LegacyAndCompact
	// CompactOnly writes the compact format.
	CompactOnly
)

// WriteOps returns the operations that write a job's tombstone in the given formats.
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

// compact returns the tombstone in the compact format.
func (t Tombstone) compact() []any {
	list := []any{Schema, compactStatusCodes[t.Status], t.Tasks}
	if t.CompletedAtMS != 0 {
		list = append(list, t.CompletedAtMS) // every build that reads this schema ignores additional entries
	}
	return list
}

// AbsentCompares returns the compares that hold if a job has no tombstone in either format.
func AbsentCompares(id string) []statekv.Compare {
	return []statekv.Compare{{Key: LegacyKey(id)}, {Key: Key(id)}}
}

// Parse decodes a tombstone from its key and value. ok reports whether key is the key of a
// tombstone. The error wraps a *statekv.SchemaError if this build does not read the schema version
// of the value. Any other error means that the value is damaged. The texts of these errors are
// shown to operators and stored with the progress of a migration.
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
	return compactStatusCodes[t.Status] != "" && t.Tasks >= 1 && t.Tasks <= job.MaxTasks
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
	var code string
	if len(list) < 3 || json.Unmarshal(list[1], &code) != nil || json.Unmarshal(list[2], &t.Tasks) != nil {
		return t, errors.New("is not form, status and tasks")
	}
	if len(list) > 3 && json.Unmarshal(list[3], &t.CompletedAtMS) != nil {
		return t, errors.New("its time is no number")
	}
	for status, c := range compactStatusCodes {
		if c == code {
			t.Status = status
		}
	}
	return t, nil
}

// Change is a write of a tombstone. Err is set if the tombstone cannot be decoded.
type Change struct {
	ID string
	Tombstone
	Err error
}

// ParseChange decodes a tombstone for the Parse function of a statekv.Mirror. It returns a Change,
// or nil if key is not the key of a tombstone.
func ParseChange(key string, raw json.RawMessage) any {
	id, t, ok, err := Parse(key, raw)
	if !ok {
		return nil
	}
	return Change{id, t, err}
}

// ChangeOf returns the tombstone that an event writes. ok is false if the event does not write one.
// It does not decode the value again if the mirror has done so with ParseChange.
func ChangeOf(e statekv.Event) (c Change, ok bool) {
	if e.Parsed == nil {
		e.Parsed = ParseChange(e.Set, e.Value)
	}
	c, ok = e.Parsed.(Change)
	return c, ok
}
