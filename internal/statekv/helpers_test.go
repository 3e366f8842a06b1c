package statekv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/internal/statekv"
)

// openJobs is the prefix of the keys of jobs, which are not among the cluster's.
const openJobs = statekv.RootPrefix + "job/"

// inBubble runs a test whose clock moves when nothing else does. What still runs at its end, and
// ends with ctx, is waited for.
func inBubble(t *testing.T, test func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		test(ctx, t)
	})
}

// newMirror returns a mirror of the keys under prefixes that is not loaded, with watches of all
// changes.
func newMirror(store statekv.Store, prefixes ...string) *statekv.Mirror {
	return statekv.NewMirror(store, prefixes, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
}

// load reads a mirror's keys.
func load(t *testing.T, mirror *statekv.Mirror) {
	t.Helper()
	if err := mirror.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// openSession opens a session of host that registers nothing.
func openSession(
	t *testing.T, store statekv.Store, mirror *statekv.Mirror, host string, ttl time.Duration,
) *statekv.Session {
	t.Helper()
	session, err := statekv.OpenSession(t.Context(), store, mirror, host, ttl, statekv.Registration{})
	if err != nil {
		t.Fatalf("session of %s: %v", host, err)
	}
	return session
}

// commit makes changes without compares, and returns their revision.
func commit(t *testing.T, store statekv.Store, ops ...statekv.Op) uint64 {
	t.Helper()
	rev, err := store.Txn(t.Context(), nil, ops)
	if err != nil {
		t.Fatalf("%v: %v", ops, err)
	}
	return rev
}
