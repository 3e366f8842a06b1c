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

// The spec of a job with many dependencies or machine types can exceed the size limit of a value.
// Such a spec is split into fragments that are stored under keys of their own. The job's record
// then contains the number of fragments and, of the spec, only the id and the number of tasks.
// Fragments are written in the same transaction as the first record that counts them, and never
// change. The fragments of a finished job are garbage collected (package tombstone). Stored records
// and error texts call them pieces.

// ErrSpecTooLarge means that a spec needs more fragments than one transaction may write. Its text
// is returned to the user.
var ErrSpecTooLarge = errors.New("the job's description is too large to be stored")

const (
	// maxChunkFieldBytes is the largest size of the JSON field with a chunk of completed tasks.
	maxChunkFieldBytes = (TasksPerChunk/byteBits*4+2)/3 + len(`,"done":""`)

	// fragmentOverheadBytes is the part of a value that is reserved for the quotation marks around
	// a fragment.
	fragmentOverheadBytes = 16

	// maxSpecBytes limits the size of a decompressed spec. It is larger than any submission.
	maxSpecBytes = 256 << 10
)

// ExceedsLimit reports whether the record exceeds the size limit of a value once all of its tasks
// are completed. The failure history is not counted, because it is omitted where it does not fit.
func (r Record) ExceedsLimit(limit int) bool {
	completedBytes := min(maxChunkFieldBytes, (r.Spec.Tasks/byteBits+1)*4/3+len(`,"done":"=="`))
	r.CompletedTasks, r.Failures = "", nil
	raw, err := json.Marshal(r)
	return err == nil && len(raw)+completedBytes > limit
}

// SplitSpec splits the record's spec into fragments that fit values of at most limit bytes, and
// returns the operations that write them. It returns ErrSpecTooLarge if that takes more than maxOps
// operations. From then on the record is encoded with a stub of its spec.
func (r *Record) SplitSpec(limit, maxOps int) ([]statekv.Op, error) {
	raw, err := json.Marshal(statekv.ValueWithUnknownFields{Value: r.Spec, Unknown: r.UnknownSpecFields})
	if err != nil {
		return nil, fmt.Errorf("encoding a spec: %w", err)
	}
	encoded, err := compress(raw)
	if err != nil {
		return nil, fmt.Errorf("packing a spec: %w", err)
	}
	var ops []statekv.Op
	for encoded != "" {
		fragmentBytes := min(limit-fragmentOverheadBytes, len(encoded))
		ops = append(ops, statekv.Op{Set: SpecFragmentKey(r.Spec.ID, len(ops)), Value: encoded[:fragmentBytes]})
		encoded = encoded[fragmentBytes:]
	}
	if len(ops) > maxOps {
		return nil, fmt.Errorf("%w: %d pieces, %d at most", ErrSpecTooLarge, len(ops), maxOps)
	}
	r.SpecFragments = len(ops)
	return ops, nil
}

// stub returns the part of a split spec that is stored in the record itself.
func (s *Spec) stub() Spec { return Spec{ID: s.ID, Tasks: s.Tasks} }

// JoinSpec decodes the spec of a record from its fragments, if it is split. get returns the value
// of a key.
func (r *Record) JoinSpec(get func(key string) (statekv.KV, bool)) error {
	if r.SpecFragments == 0 {
		return nil
	}
	encoded := ""
	for i := range r.SpecFragments {
		kv, ok := get(SpecFragmentKey(r.Spec.ID, i))
		var fragment string
		if !ok || json.Unmarshal(kv.Value, &fragment) != nil {
			return fmt.Errorf("record of %s: piece %d of %d is missing or damaged", r.Spec.ID, i+1, r.SpecFragments)
		}
		encoded += fragment
	}
	raw, err := decompress(encoded)
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

// compress compresses raw with DEFLATE and encodes the result in base64.
func compress(raw []byte) (string, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestCompression)
	if err != nil {
		return "", err
	}
	if _, err := w.Write(raw); err != nil {
		return "", err
	}
	if err := w.Close(); err != nil {
		return "", err
	}
	return base64.RawStdEncoding.EncodeToString(compressed.Bytes()), nil
}

// decompress reverses compress. Output beyond maxSpecBytes is cut off.
func decompress(encoded string) ([]byte, error) {
	compressed, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxSpecBytes))
}
