package tombstone_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// limitedStore is a state service that allows one lookup request per interval and counts
// transactions.
type limitedStore struct {
	*emulator.StateService
	interval    time.Duration
	mu          sync.Mutex
	nextAllowed time.Time
	requests    int
}

func (s *limitedStore) Allow(statekv.RequestClass, int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Before(s.nextAllowed) {
		return false
	}
	s.nextAllowed = time.Now().Add(s.interval)
	return true
}

func (s *limitedStore) Txn(ctx context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error) {
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	return s.StateService.Txn(ctx, when, then)
}

// While hundreds of unknown jobs are looked up every second, the lookup of a finished job is still
// answered in order of arrival, and its result is cached for the next caller. Guards against a
// request share that is used up by the first callers, so that others are never answered.
func TestBatchedLookupUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &limitedStore{StateService: emulator.NewStateService(), interval: 150 * time.Millisecond}
		if _, err := store.StateService.Txn(ctx, nil, tombstone.WriteOps("wk-1", tombstone.Tombstone{Status: job.Done, Tasks: 1}, tombstone.CompactOnly)); err != nil {
			t.Fatal(err)
		}
		lookup := tombstone.NewBatchedLookup(store, 32, 6.7)
		fence := func() (statekv.Compare, bool) { return statekv.Compare{Key: "session"}, true }
		var cached atomic.Bool
		onFound := func(id string, _ tombstone.Tombstone) { cached.Store(cached.Load() || id == "wk-1") }
		stop := make(chan struct{})
		go func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(4 * time.Millisecond): // 250 lookups a second
				}
				go func() { _, _ = lookup.Lookup(ctx, fence, fmt.Sprintf("wk-9%d", k), onFound) }()
			}
		}()
		time.Sleep(10 * time.Second)
		defer func() { close(stop); time.Sleep(2 * time.Minute) }()
		start := time.Now()
		for !cached.Load() {
			if _, err := lookup.Lookup(ctx, fence, "wk-1", onFound); err != nil && !errors.Is(err, statekv.ErrRejected) {
				t.Fatal(err)
			}
			time.Sleep(5 * time.Second)
		}
		if elapsed := time.Since(start); elapsed > 45*time.Second {
			t.Errorf("lookup of a finished job took %v, want at most 45s", elapsed)
		}
		store.mu.Lock()
		defer store.mu.Unlock()
		if maxRequests := int(time.Since(time.Unix(946684800, 0))/store.interval) + 10; store.requests > maxRequests {
			t.Errorf("got %d requests, want at most %d", store.requests, maxRequests)
		}
	})
}

// Finished jobs are distinguished from unknown ones in every tombstone format. Without a session,
// or after its end, no job is reported as unknown.
func TestBatchedLookupDistinguishesFinishedFromUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		state := emulator.NewStateService()
		for k, formats := range []tombstone.Formats{tombstone.LegacyOnly, tombstone.LegacyAndCompact, tombstone.CompactOnly} {
			if _, err := state.Txn(ctx, nil, tombstone.WriteOps(fmt.Sprintf("wk-%d", k), tombstone.Tombstone{Status: job.Done, Tasks: k + 1}, formats)); err != nil {
				t.Fatal(err)
			}
		}
		lookup := tombstone.NewBatchedLookup(state, 96, 1000)
		hasSession, session := true, statekv.Compare{Key: "session"}
		fence := func() (statekv.Compare, bool) { return session, hasSession }
		lookupAll := func() map[string]error {
			type answer struct {
				id    string
				found tombstone.Tombstone
				err   error
			}
			answers := make(chan answer)
			for k := range 40 {
				go func() {
					id := fmt.Sprintf("wk-%d", k)
					found, err := lookup.Lookup(ctx, fence, id, func(string, tombstone.Tombstone) {})
					answers <- answer{id, found, err}
				}()
			}
			errs := map[string]error{}
			for range 40 {
				a := <-answers
				if errs[a.id] = a.err; a.err == nil && fmt.Sprintf("wk-%d", a.found.Tasks-1) != a.id {
					t.Errorf("got the tombstone of another job: %+v", a)
				}
			}
			return errs
		}
		for id, err := range lookupAll() {
			if finished := id == "wk-0" || id == "wk-1" || id == "wk-2"; finished != (err == nil) || err != nil && !errors.Is(err, statekv.ErrNotFound) {
				t.Errorf("%s: got error %v, want finished %t", id, err, finished)
			}
		}
		session.Rev = 77 // a revision that the key does not have, as after the end of the session
		for id, err := range lookupAll() {
			if err != nil && !errors.Is(err, statekv.ErrRejected) {
				t.Errorf("%s after the end of the session: got error %v, want ErrRejected or none", id, err)
			}
		}
		hasSession = false
		for id, err := range lookupAll() {
			if !errors.Is(err, statekv.ErrRejected) {
				t.Errorf("%s without a session: got error %v, want ErrRejected", id, err)
			}
		}
	})
}
