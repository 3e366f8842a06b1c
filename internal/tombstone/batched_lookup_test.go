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

// limitedStore is a state service that allows so many lookups a second, and counts requests.
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

// Hundreds of lookups of jobs that nobody submitted come every second; one of a finished
// job is answered all the same, in the order of coming, and its answer is kept for the next
// who asks. Guards against a share that whoever comes first uses up.
func TestLookupAmongThousands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &limitedStore{StateService: emulator.NewStateService(), interval: 150 * time.Millisecond}
		if _, err := s.StateService.Txn(ctx, nil, tombstone.WriteOps("wk-1", tombstone.Tombstone{Status: job.Done, Tasks: 1}, tombstone.CompactOnly)); err != nil {
			t.Fatal(err)
		}
		f := tombstone.NewBatchedLookup(s, 32, 6.7)
		fence := func() (statekv.Compare, bool) { return statekv.Compare{Key: "session"}, true }
		var cached atomic.Bool
		found := func(id string, _ tombstone.Tombstone) { cached.Store(cached.Load() || id == "wk-1") }
		stop := make(chan struct{})
		go func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(4 * time.Millisecond): // 250 a second
				}
				go func() { _, _ = f.Lookup(ctx, fence, fmt.Sprintf("wk-9%d", k), found) }()
			}
		}()
		time.Sleep(10 * time.Second)
		defer func() { close(stop); time.Sleep(2 * time.Minute) }()
		began := time.Now()
		for !cached.Load() {
			if _, err := f.Lookup(ctx, fence, "wk-1", found); err != nil && !errors.Is(err, statekv.ErrRejected) {
				t.Fatal(err)
			}
			time.Sleep(5 * time.Second)
		}
		if took := time.Since(began); took > 45*time.Second {
			t.Errorf("it took %v", took)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if most := int(time.Since(time.Unix(946684800, 0))/s.interval) + 10; s.requests > most {
			t.Errorf("%d requests, %d at most", s.requests, most)
		}
	})
}

// Those that exist among many that do not are told apart, whatever their format; without a
// session, or after its end, no job is answered to be unknown.
func TestLookupTellsFinishedFromUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		state := emulator.NewStateService()
		for k, formats := range []tombstone.Formats{tombstone.LegacyOnly, tombstone.LegacyAndCompact, tombstone.CompactOnly} {
			if _, err := state.Txn(ctx, nil, tombstone.WriteOps(fmt.Sprintf("wk-%d", k), tombstone.Tombstone{Status: job.Done, Tasks: k + 1}, formats)); err != nil {
				t.Fatal(err)
			}
		}
		f := tombstone.NewBatchedLookup(state, 96, 1000)
		alive, own := true, statekv.Compare{Key: "session"}
		fence := func() (statekv.Compare, bool) { return own, alive }
		ask := func() map[string]error {
			type answer struct {
				id  string
				r   tombstone.Tombstone
				err error
			}
			answers := make(chan answer)
			for k := range 40 {
				go func() {
					id := fmt.Sprintf("wk-%d", k)
					r, err := f.Lookup(ctx, fence, id, func(string, tombstone.Tombstone) {})
					answers <- answer{id, r, err}
				}()
			}
			out := map[string]error{}
			for range 40 {
				a := <-answers
				if out[a.id] = a.err; a.err == nil && fmt.Sprintf("wk-%d", a.r.Tasks-1) != a.id {
					t.Errorf("%+v", a)
				}
			}
			return out
		}
		for id, err := range ask() {
			if known := id == "wk-0" || id == "wk-1" || id == "wk-2"; known != (err == nil) || err != nil && !errors.Is(err, statekv.ErrNotFound) {
				t.Errorf("%s: %v", id, err)
			}
		}
		own.Rev = 77 // which it has not: this session is over
		for id, err := range ask() {
			if err != nil && !errors.Is(err, statekv.ErrRejected) {
				t.Errorf("after its session, %s: %v", id, err)
			}
		}
		alive = false
		for id, err := range ask() {
			if !errors.Is(err, statekv.ErrRejected) {
				t.Errorf("without a session, %s: %v", id, err)
			}
		}
	})
}
