package statekv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/internal/statekv"
)

// jobPrefix is the prefix of the job keys, which are not under ClusterPrefix.
const jobPrefix = statekv.RootPrefix + "job/"

// inBubble runs a test in a synctest bubble. At the end it cancels ctx and waits for the goroutines
// of the test.
func inBubble(t *testing.T, test func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		test(ctx, t)
	})
}

// newMirror returns a mirror of the keys under prefixes that is not loaded yet and that watches all
// keys.
func newMirror(store statekv.Store, prefixes ...string) *statekv.Mirror {
	return statekv.NewMirror(store, prefixes, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
}

// load loads a mirror and fails the test on an error.
func load(t *testing.T, mirror *statekv.Mirror) {
	t.Helper()
	if err := mirror.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// openSession opens a session of host with an empty registration.
func openSession(
	t *testing.T, store statekv.Store, mirror *statekv.Mirror, host string, ttl time.Duration,
) *statekv.Session {
	t.Helper()
	session, err := statekv.OpenSession(t.Context(), store, mirror, host, ttl, statekv.Registration{})
	if err != nil {
		t.Fatalf("opening a session of %s: %v", host, err)
	}
	return session
}

// commit applies changes without compares and returns their revision.
func commit(t *testing.T, store statekv.Store, ops ...statekv.Op) uint64 {
	t.Helper()
	rev, err := store.Txn(t.Context(), nil, ops)
	if err != nil {
		t.Fatalf("transaction %v: %v", ops, err)
	}
	return rev
}
