// Package tombstone owns the tombstones: the final records of jobs that are over. They are kept for ever, so
// they are small and nobody mirrors them: a job's final answer never changes, so
// what was read once may be told at any time.
//
// They have two forms. The former one is an object under robin/final/; the other, two
// fifths of its size, a list under robin/ended/ that begins with its form. Which of
// them are written goes by the level of the fleet; both are always read. A job has at
// most one final record, whatever its form: whoever writes one has the condition that
// its open record is as it was seen, and that goes with it.
package tombstone

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// Keys of the state service.
const (
	LegacyPrefix = "robin/final/"
	Prefix       = "robin/ended/"
)

// Schema is the form of the records under Prefix.
const Schema = 1

// Tombstone is what remains of a job that is over: its final record.
type Tombstone struct {
	Status string // job.Done or job.Cancelled
	Tasks  int

	// CompletedAtMS is when the job was found to be done, in milliseconds since 1970 by the
	// clock of the controller that recorded it: what waited for it counts its times from
	// then. 0: not known; an earlier version recorded it, or it was cancelled.
	CompletedAtMS int64
}

// CompletedAt is when the job was found to be done, or the zero time.
func (r Tombstone) CompletedAt() time.Time {
	if r.CompletedAtMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.CompletedAtMS)
}

// former is a record under LegacyPrefix.
type former struct {
	Status        string `json:"status"`
	Tasks         int    `json:"tasks"`
	CompletedAtMS int64  `json:"ended_ms,omitempty"`
}

// Letters of the compact form.
var letters = map[string]string{job.Done: "d", job.Cancelled: "w"}

// LegacyKey and Key name a job's record in its two forms.
func LegacyKey(id string) string { return LegacyPrefix + id }
func Key(id string) string       { return Prefix + id }

// Formats says in which forms records are written.
type Formats int

// LegacyOnly only; Both, so that either form may be given up; Compact only.
const (
	LegacyOnly Formats = iota
	LegacyAndCompact
	CompactOnly
)

// WriteOps are the changes that write a record.
func WriteOps(id string, r Tombstone, w Formats) []statekv.Op {
	var ops []statekv.Op
	if w != CompactOnly {
		ops = append(ops, r.formerOp(id))
	}
	if w != LegacyOnly {
		ops = append(ops, r.op(id))
	}
	return ops
}

func (r Tombstone) formerOp(id string) statekv.Op {
	return statekv.Op{Set: LegacyKey(id), Value: former(r)}
}

func (r Tombstone) op(id string) statekv.Op {
	list := []any{Schema, letters[r.Status], r.Tasks}
	if r.CompletedAtMS != 0 {
		list = append(list, r.CompletedAtMS) // readers of this form never minded more entries
	}
	return statekv.Op{Set: Key(id), Value: list}
}

// AbsentCompares are the conditions that a job is not over.
func AbsentCompares(id string) []statekv.Compare {
	return []statekv.Compare{{Key: LegacyKey(id)}, {Key: Key(id)}}
}

// Parse reads a record by its key. ok is false where the key is no ended job's. An
// error says that the value is damaged or has a form that this build does not read; a
// *statekv.SchemaError is the latter.
func Parse(key string, raw json.RawMessage) (id string, r Tombstone, ok bool, err error) {
	if id, ok = strings.CutPrefix(key, LegacyPrefix); ok {
		var f former
		if err = statekv.CheckSchema("an ended job's record", raw, 0); err == nil {
			err = json.Unmarshal(raw, &f)
		}
		r = Tombstone(f)
	} else if id, ok = strings.CutPrefix(key, Prefix); ok {
		r, err = parseCompact(raw)
	} else {
		return "", r, false, nil
	}
	if err == nil && (letters[r.Status] == "" || r.Tasks < 1 || r.Tasks > job.MaxTasks) {
		err = errors.New("no final status, or no number of tasks")
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", key, err)
	}
	return id, r, true, err
}

// Change is the writing of a tombstone, or why it cannot be read.
type Change struct {
	ID string
	Tombstone
	Err error
}

// ParseValue is Parse for a mirror: a Change, or nil where the key is no ended job's.
func ParseChange(key string, raw json.RawMessage) any {
	id, r, ok, err := Parse(key, raw)
	if !ok {
		return nil
	}
	return Change{id, r, err}
}

// ChangeOf tells whether an event is the writing of a tombstone. A mirror that reads with
// ParseValue has read it.
func ChangeOf(e statekv.Event) (c Change, ok bool) {
	if e.Parsed == nil {
		e.Parsed = ParseChange(e.Set, e.Value)
	}
	c, ok = e.Parsed.(Change)
	return c, ok
}

func parseCompact(raw json.RawMessage) (r Tombstone, err error) {
	var list []json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil || len(list) == 0 {
		return r, errors.New("is no list")
	}
	var form int
	if err := json.Unmarshal(list[0], &form); err != nil {
		return r, fmt.Errorf("its form: %w", err)
	}
	if form != Schema {
		return r, &statekv.SchemaError{Kind: "an ended job's record", Schema: form, MaxSchema: Schema}
	}
	var letter string
	if len(list) < 3 || json.Unmarshal(list[1], &letter) != nil || json.Unmarshal(list[2], &r.Tasks) != nil {
		return r, errors.New("is not form, status and tasks")
	}
	if len(list) > 3 && json.Unmarshal(list[3], &r.CompletedAtMS) != nil {
		return r, errors.New("its time is no number")
	}
	for status, l := range letters {
		if l == letter {
			r.Status = status
		}
	}
	return r, nil
}

// Store is what reading needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (statekv.KV, error)
	Txn(ctx context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error)
}

// Read returns the record of a job that is over. statekv.ErrNotFound says that the job
// was not over at some moment since the call, and that fence held at it.
//
// The fence is the condition of the reader's own life. A record may change its form at
// any time, between two reads as well, so that its absence under both keys is found
// out by one transaction without changes; and a controller that stood still while the
// fleet went on to forms that it does not know is no part of it any more, so the fence
// keeps it from telling a user that an accepted job is unknown.
func Read(ctx context.Context, store Store, fence []statekv.Compare, id string) (Tombstone, error) {
	for range 3 {
		_, err := store.Txn(ctx, append(slices.Clone(fence), AbsentCompares(id)...), nil)
		var conflict *statekv.ConflictError
		switch {
		case err == nil:
			return Tombstone{}, statekv.ErrNotFound
		case !errors.As(err, &conflict):
			return Tombstone{}, err
		}
		at := slices.IndexFunc([]string{Key(id), LegacyKey(id)}, func(key string) bool { return slices.Contains(conflict.Failed, key) })
		if at < 0 {
			return Tombstone{}, fmt.Errorf("%w: this life is over", statekv.ErrRejected)
		}
		kv, err := store.Get(ctx, [...]string{Key(id), LegacyKey(id)}[at])
		if errors.Is(err, statekv.ErrNotFound) {
			continue // it changed its form meanwhile
		}
		if err != nil {
			return Tombstone{}, err
		}
		_, r, _, err := Parse(kv.Key, kv.Value)
		return r, err
	}
	return Tombstone{}, fmt.Errorf("%w: the record of %s keeps changing its form", statekv.ErrRejected, id)
}
