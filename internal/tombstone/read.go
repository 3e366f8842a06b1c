package tombstone

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"robinstack/internal/statekv"
)

// Store is what reading needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (statekv.KV, error)
	Txn(ctx context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error)
}

// maxReadAttempts bounds how often a tombstone is read whose format changes meanwhile.
const maxReadAttempts = 3

// errSessionEnded says that the reader's own fence failed.
var errSessionEnded = fmt.Errorf("%w: this life is over", statekv.ErrRejected)

// Read returns the tombstone of a job. statekv.ErrNotFound says that the job had none at
// some moment since the call, and that fence held at it.
//
// The fence is the compare of the reader's own session. A tombstone may change its format
// at any time, between two reads as well, so that its absence under both keys is found out
// by one transaction without changes; and a controller that stood still while the cluster
// went on to formats that it does not know is no part of it any more, so the fence keeps it
// from answering a user that an accepted job is unknown.
func Read(ctx context.Context, store Store, fence []statekv.Compare, id string) (Tombstone, error) {
	for range maxReadAttempts {
		key, err := presentKey(ctx, store, fence, id)
		if err != nil {
			return Tombstone{}, err
		}
		kv, err := store.Get(ctx, key)
		if errors.Is(err, statekv.ErrNotFound) {
			continue // it changed its format meanwhile
		}
		if err != nil {
			return Tombstone{}, err
		}
		_, t, _, err := Parse(kv.Key, kv.Value)
		return t, err
	}
	return Tombstone{}, fmt.Errorf("%w: the record of %s keeps changing its form", statekv.ErrRejected, id)
}

// presentKey returns the key under which a job has a tombstone, the compact one before the
// legacy one, or statekv.ErrNotFound.
func presentKey(ctx context.Context, store Store, fence []statekv.Compare, id string) (string, error) {
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

// PartitionByPresence tells the jobs for which a compare of absent does not hold from those
// for which all do, each at some moment since the call at which the fence held, with few
// transactions without changes.
func PartitionByPresence(
	ctx context.Context, store Store, fence statekv.Compare, ids []string,
	absent func(id string) []statekv.Compare,
) (present, missing []string, err error) {
	for len(ids) > 0 {
		compares := []statekv.Compare{fence}
		for _, id := range ids {
			compares = append(compares, absent(id)...)
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
		var rest []string
		for _, id := range ids {
			if slices.ContainsFunc(absent(id), failed) {
				present = append(present, id)
			} else {
				rest = append(rest, id)
			}
		}
		if len(rest) == len(ids) {
			return present, nil, errSessionEnded
		}
		ids = rest
	}
	return present, nil, nil
}
