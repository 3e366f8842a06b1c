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
// types, is kept in fragments: the record itself says how many there are and has of the
// spec only the id and the number of tasks. Fragments are written with the record that
// names them and never change; those of a finished job are garbage collected (package
// tombstone).

// ErrSpecTooLarge says that a job's spec does not fit what the state service takes.
var ErrSpecTooLarge = errors.New("the job's description is too large to be stored")

const (
	// maxChunkBytes is the most that one chunk of completed tasks takes, with its name.
	maxChunkBytes = (TasksPerChunk/byteBits*4+2)/3 + len(`,"done":""`)

	// fragmentSlack is what is left free of a value for the quotes of a fragment.
	fragmentSlack = 16

	// maxSpecBytes bounds a spec that is decompressed: no submission is larger.
	maxSpecBytes = 256 << 10
)

// ExceedsLimit reports whether the record is larger than the limit of a value once it says
// that all its tasks are completed. The failure history does not count: it is left out
// where it does not fit.
func (r Record) ExceedsLimit(limit int) bool {
	completedBytes := min(maxChunkBytes, (r.Spec.Tasks/byteBits+1)*4/3+len(`,"done":"=="`))
	r.CompletedTasks, r.Failures = "", nil
	raw, err := json.Marshal(r)
	return err == nil && len(raw)+completedBytes > limit
}

// SplitSpec has the record keep its spec in fragments of up to limit bytes and returns the
// changes that write those, maxOps of them at most; else the error is ErrSpecTooLarge.
func (r *Record) SplitSpec(limit, maxOps int) ([]statekv.Op, error) {
	raw, err := json.Marshal(statekv.WithUnknown{Value: r.Spec, Unknown: r.UnknownSpecFields})
	if err != nil {
		return nil, fmt.Errorf("encoding a spec: %w", err)
	}
	text, err := compress(raw)
	if err != nil {
		return nil, fmt.Errorf("packing a spec: %w", err)
	}
	var ops []statekv.Op
	for text != "" {
		n := min(limit-fragmentSlack, len(text))
		ops = append(ops, statekv.Op{Set: SpecFragmentKey(r.Spec.ID, len(ops)), Value: text[:n]})
		text = text[n:]
	}
	if len(ops) > maxOps {
		return nil, fmt.Errorf("%w: %d pieces, %d at most", ErrSpecTooLarge, len(ops), maxOps)
	}
	r.SpecFragments = len(ops)
	return ops, nil
}

// stub is what the record itself has of a spec in fragments.
func (s *Spec) stub() Spec { return Spec{ID: s.ID, Tasks: s.Tasks} }

// JoinSpec decodes the spec of a record in fragments; get returns a key's value.
func (r *Record) JoinSpec(get func(key string) (statekv.KV, bool)) error {
	if r.SpecFragments == 0 {
		return nil
	}
	text := ""
	for k := range r.SpecFragments {
		kv, ok := get(SpecFragmentKey(r.Spec.ID, k))
		var fragment string
		if !ok || json.Unmarshal(kv.Value, &fragment) != nil {
			return fmt.Errorf("record of %s: piece %d of %d is missing or damaged", r.Spec.ID, k+1, r.SpecFragments)
		}
		text += fragment
	}
	raw, err := decompress(text)
	if err != nil {
		return fmt.Errorf("record of %s: its pieces: %w", r.Spec.ID, err)
	}
	var spec Spec
	if err := json.Unmarshal(raw, &spec); err != nil {
		return fmt.Errorf("record of %s: its pieces are not its spec: %w", r.Spec.ID, err)
	}
	if spec.ID != r.Spec.ID || spec.Tasks != r.Spec.Tasks {
		return fmt.Errorf("record of %s: its pieces are the spec of %s with %d tasks", r.Spec.ID, spec.ID, spec.Tasks)
	}
	r.Spec, r.UnknownSpecFields = spec, statekv.UnknownFieldsOf(raw, spec)
	return nil
}

// compress returns raw compressed, in base64.
func compress(raw []byte) (string, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestCompression)
	if err != nil {
		return "", err
	}
	if _, err := w.Write(raw); err != nil {
		return "", err
	}
	if err := w.Close(); err != nil {
		return "", err
	}
	return base64.RawStdEncoding.EncodeToString(packed.Bytes()), nil
}

// decompress is the reverse of compress. What is beyond maxSpecBytes is cut off.
func decompress(text string) ([]byte, error) {
	packed, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxSpecBytes))
}
