package tombstone

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"robinstack/internal/statekv"
)

// Store is the part of the state service that is needed to read tombstones.
type Store interface {
	Get(ctx context.Context, key string) (statekv.KV, error)
	Txn(ctx context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error)
}

// maxReadAttempts limits how often Read starts again because the tombstone has changed its format
// between its two requests.
const maxReadAttempts = 3

// errSessionEnded means that the compare of the reader's own session failed.
var errSessionEnded = fmt.Errorf("%w: the session of this controller has ended", statekv.ErrRejected)

// Read returns the tombstone of a job. statekv.ErrNotFound means that at some moment since the call
// the job had no tombstone and fence held.
//
// fence is the compare of the reader's session. A tombstone may change its format at any time, also
// between two reads, so a single transaction without operations finds out whether it is absent
// under both keys. The fence is part of this transaction because a controller may be paused while
// the cluster moves to a format that it does not know. The session of that controller has ended, so
// the fence fails and the controller does not tell a user that an accepted job is unknown.
func Read(ctx context.Context, store Store, fence []statekv.Compare, id string) (Tombstone, error) {
	for range maxReadAttempts {
		key, err := findKey(ctx, store, fence, id)
		if err != nil {
			return Tombstone{}, err
		}
		kv, err := store.Get(ctx, key)
		if errors.Is(err, statekv.ErrNotFound) {
			continue // the format has changed since findKey
		}
		if err != nil {
			return Tombstone{}, err
		}
		_, t, _, err := Parse(kv.Key, kv.Value)
		return t, err
	}
	return Tombstone{}, fmt.Errorf("%w: the tombstone of %s changed its format during each of %d reads",
		statekv.ErrRejected, id, maxReadAttempts)
}

// findKey returns the key under which a job has a tombstone. If there are two, it returns the
// compact one. It returns statekv.ErrNotFound if there is none.
func findKey(ctx context.Context, store Store, fence []statekv.Compare, id string) (string, error) {
	_, err := store.Txn(ctx, append(slices.Clone(fence), AbsentCompares(id)...), nil)
	if err == nil {
		return "", statekv.ErrNotFound
	}
	var conflict *statekv.ConflictError
	if !errors.As(err, &conflict) {
		return "", err
	}
	for _, key := range []string{Key(id), LegacyKey(id)} {
		if slices.Contains(conflict.Failed, key) {
			return key, nil
		}
	}
	return "", errSessionEnded
}

// PartitionByPresence divides jobs into those for which a compare of absentCompares fails (present)
// and those for which all of them hold (missing). A job is reported missing only if at some moment
// since the call its compares and fence held together. One transaction without operations checks
// many jobs, because a failed transaction reports every compare that failed.
func PartitionByPresence(
	ctx context.Context, store Store, fence statekv.Compare, ids []string,
	absentCompares func(id string) []statekv.Compare,
) (present, missing []string, err error) {
	for len(ids) > 0 {
		compares := []statekv.Compare{fence}
		for _, id := range ids {
			compares = append(compares, absentCompares(id)...)
		}
		_, err := store.Txn(ctx, compares, nil)
		if err == nil {
			return present, ids, nil
		}
		var conflict *statekv.ConflictError
		if !errors.As(err, &conflict) {
			return present, nil, err
		}
		failed := func(c statekv.Compare) bool { return slices.Contains(conflict.Failed, c.Key) }
		var remaining []string
		for _, id := range ids {
			if slices.ContainsFunc(absentCompares(id), failed) {
				present = append(present, id)
			} else {
				remaining = append(remaining, id)
			}
		}
		if len(remaining) == len(ids) {
			return present, nil, errSessionEnded
		}
		ids = remaining
	}
	return present, nil, nil
}
