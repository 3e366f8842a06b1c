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

// slow is a state service that allows so many lookups a second, and counts requests.
type slow struct {
	*emulator.StateService
	every    time.Duration
	mu       sync.Mutex
	next     time.Time
	requests int
}

func (s *slow) Allow(statekv.RequestClass, int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Before(s.next) {
		return false
	}
	s.next = time.Now().Add(s.every)
	return true
}

func (s *slow) Txn(ctx context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error) {
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	return s.StateService.Txn(ctx, when, then)
}

// Hundreds of questions about jobs that nobody submitted come every second; one about a
// job that is over has its turn all the same, in the order of coming, and its answer is
// kept for the next who asks. Guards against a share that whoever comes first uses up.
func TestOneAmongThousands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &slow{StateService: emulator.NewStateService(), every: 150 * time.Millisecond}
		if _, err := s.StateService.Txn(ctx, nil, tombstone.WriteOps("wk-1", tombstone.Tombstone{Status: job.Done, Tasks: 1}, tombstone.CompactOnly)); err != nil {
			t.Fatal(err)
		}
		f := tombstone.NewBatchedLookup(s, 32, 6.7)
		fence := func() (statekv.Compare, bool) { return statekv.Compare{Key: "life"}, true }
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
		if most := int(time.Since(time.Unix(946684800, 0))/s.every) + 10; s.requests > most {
			t.Errorf("%d requests, %d at most", s.requests, most)
		}
	})
}

// Those that exist among many that do not are told apart, whatever their form; without a
// life, or after its end, nobody is told that a job is unknown.
func TestFinderTellsThemApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		state := emulator.NewStateService()
		for k, form := range []tombstone.Formats{tombstone.LegacyOnly, tombstone.LegacyAndCompact, tombstone.CompactOnly} {
			if _, err := state.Txn(ctx, nil, tombstone.WriteOps(fmt.Sprintf("wk-%d", k), tombstone.Tombstone{Status: job.Done, Tasks: k + 1}, form)); err != nil {
				t.Fatal(err)
			}
		}
		f := tombstone.NewBatchedLookup(state, 96, 1000)
		lives, own := true, statekv.Compare{Key: "life"}
		fence := func() (statekv.Compare, bool) { return own, lives }
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
		own.Rev = 77 // which it has not: this life is over
		for id, err := range ask() {
			if err != nil && !errors.Is(err, statekv.ErrRejected) {
				t.Errorf("after its life, %s: %v", id, err)
			}
		}
		lives = false
		for id, err := range ask() {
			if !errors.Is(err, statekv.ErrRejected) {
				t.Errorf("without a life, %s: %v", id, err)
			}
		}
	})
}
