package job

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"robinstack/internal/statekv"
)

// A record whose spec is too large for one value, because it names many jobs or machine
// types, is kept in pieces: the record itself says how many there are and has of the
// spec only the id and the number of tasks. Pieces are written with the record that
// names them and never change; those of a job that is over are swept away (package ended).

// SpecFragmentPrefix is the prefix of the keys of pieces.
const SpecFragmentPrefix = "robin/spec/"

// SpecFragmentKey names a key with a part of a job's spec.
func SpecFragmentKey(id string, k int) string {
	return fmt.Sprintf("%s%s/%d", SpecFragmentPrefix, id, k)
}

// ErrSpecTooLarge says that a record does not fit what the state service takes.
var ErrSpecTooLarge = errors.New("the job's description is too large to be stored")

// chunkBytes is the most that one chunk of finished tasks takes, with its name.
const chunkBytes = (TasksPerChunk/8*4+2)/3 + len(`,"done":""`)

// ExceedsLimit reports whether the record, when it says that all its tasks are finished, is
// larger than a value may be. Notes on failures are left out where they do not fit.
func (r Record) ExceedsLimit(limit int) bool {
	grown := min(chunkBytes, (r.Spec.Tasks/8+1)*4/3+len(`,"done":"=="`))
	r.CompletedTasks, r.Failures = "", nil
	raw, err := json.Marshal(r)
	return err == nil && len(raw)+grown > limit
}

// pieceSlack is left of a value for its quotes.
const pieceSlack = 16

// SplitSpec has the record keep its spec in pieces of up to limit bytes and returns the
// changes that write those, at most ops of them; else the error is ErrSpecTooLarge.
func (r *Record) SplitSpec(limit, ops int) ([]statekv.Op, error) {
	raw, err := json.Marshal(statekv.WithUnknown{Value: r.Spec, Unknown: r.UnknownSpecFields})
	if err != nil {
		return nil, fmt.Errorf("encoding a spec: %w", err)
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("packing a spec: %w", err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, fmt.Errorf("packing a spec: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("packing a spec: %w", err)
	}
	text := base64.RawStdEncoding.EncodeToString(packed.Bytes())
	var out []statekv.Op
	for size := limit - pieceSlack; text != ""; {
		n := min(size, len(text))
		out = append(out, statekv.Op{Set: SpecFragmentKey(r.Spec.ID, len(out)), Value: text[:n]})
		text = text[n:]
	}
	if len(out) > ops {
		return nil, fmt.Errorf("%w: %d pieces, %d at most", ErrSpecTooLarge, len(out), ops)
	}
	r.SpecFragments = len(out)
	return out, nil
}

// stub is what the record itself has of a spec in pieces.
func (s *Spec) stub() Spec { return Spec{ID: s.ID, Tasks: s.Tasks} }

// mostSpec bounds a spec that is unpacked: no submission is larger.
const mostSpec = 256 << 10

// JoinSpec reads the spec of a record in pieces; get returns a key's value.
func (r *Record) JoinSpec(get func(key string) (statekv.KV, bool)) error {
	if r.SpecFragments == 0 {
		return nil
	}
	text := ""
	for k := range r.SpecFragments {
		kv, ok := get(SpecFragmentKey(r.Spec.ID, k))
		var piece string
		if !ok || json.Unmarshal(kv.Value, &piece) != nil {
			return fmt.Errorf("record of %s: piece %d of %d is missing or damaged", r.Spec.ID, k+1, r.SpecFragments)
		}
		text += piece
	}
	packed, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("record of %s: its pieces: %w", r.Spec.ID, err)
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), mostSpec))
	if err != nil {
		return fmt.Errorf("record of %s: its pieces: %w", r.Spec.ID, err)
	}
	var s Spec
	if err := json.Unmarshal(raw, &s); err != nil || s.ID != r.Spec.ID || s.Tasks != r.Spec.Tasks {
		return fmt.Errorf("record of %s: its pieces are not its spec: %w", r.Spec.ID, err)
	}
	r.Spec, r.UnknownSpecFields = s, statekv.UnknownFieldsOf(raw, s)
	return nil
}

// AuxiliaryKeys are the keys that a job of so many tasks and pieces has beside its record.
func AuxiliaryKeys(id string, tasks, pieces int) []string {
	var keys []string
	for k := 1; k < ChunkCount(tasks); k++ {
		keys = append(keys, CompletedChunkKey(id, k))
	}
	for k := range pieces {
		keys = append(keys, SpecFragmentKey(id, k))
	}
	return keys
}

// DeleteAuxiliaryOps are changes that remove a job's extra keys, at most n of them: what is left
// of a job that is over is swept away later.
func DeleteAuxiliaryOps(id string, tasks, pieces, n int) []statekv.Op {
	var ops []statekv.Op
	for _, key := range AuxiliaryKeys(id, tasks, pieces) {
		if len(ops) >= n {
			break
		}
		ops = append(ops, statekv.Op{Delete: key})
	}
	return ops
}

var inPieces, namesOthers = []byte(`"spec_pieces":`), []byte(`"waits_on":`)

// MayHaveDependencies reports whether a stored record names jobs that it waits for, or may
// do so in its pieces. It only looks at the bytes: a quotation mark in any name is
// written as \", so nothing else looks like a field.
func MayHaveDependencies(raw json.RawMessage) bool {
	return bytes.Contains(raw, namesOthers) || bytes.Contains(raw, inPieces)
}
