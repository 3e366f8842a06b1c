package statekv_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/statekv"
)

// changingStore makes a change once, after the first page of a listing has been read.
type changingStore struct {
	*emulator.StateService
	change func()
}

func (s *changingStore) List(ctx context.Context, prefix, after string) (statekv.Page, error) {
	page, err := s.StateService.List(ctx, prefix, after)
	if change := s.change; change != nil {
		s.change = nil
		change()
	}
	return page, err
}

// What changes while an empty store is read is seen all the same. Guards against controllers
// that start together and take each other for failed: one took the roles of both others, which
// then rejected every submission.
func TestMirrorOfAnEmptyStoreMissesNothing(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		state := emulator.NewEmptyStateService()
		store := &changingStore{StateService: state}
		mirror := newMirror(store, statekv.ClusterPrefix, openJobs)
		var other *statekv.Session
		store.change = func() { other = openSession(t, state, mirror, "host-1", time.Hour) }
		load(t, mirror)
		session := openSession(t, store, mirror, "host-0", time.Hour)
		go mirror.Run(ctx)
		time.Sleep(3 * time.Second)
		if !session.Alive(other.Holder) {
			t.Fatal("the other controller, which registered during the read, is taken for one without a session")
		}
	})
}

// Whoever waits for a revision finds that OnApply has taken note of its changes, and that they
// can be read.
func TestOnApplyPrecedesTheRevision(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		state := emulator.NewStateService()
		mirror := newMirror(state, openJobs)
		applied := 0
		mirror.OnApply = func(events []statekv.Event) {
			for _, e := range events {
				applied++
				if mirror.Rev() >= e.Rev {
					t.Errorf("revision %d counted as seen before %s was applied", e.Rev, e.Key())
				}
				if _, ok := mirror.Get(e.Key()); !ok {
					t.Errorf("%s is not there", e.Key())
				}
			}
		}
		load(t, mirror)
		go mirror.Run(ctx)
		for k := range 5 {
			rev := commit(t, state, statekv.Op{Set: fmt.Sprintf("%swk-%d", openJobs, k), Value: k})
			if err := mirror.Wait(ctx, rev); err != nil {
				t.Fatal(err)
			}
		}
		if applied != 5 {
			t.Errorf("%d of 5 were applied", applied)
		}
	})
}

// A value that cannot be decoded is listed with the reason until the key changes, and stays as
// it is.
func TestUndecodableKeysAreListedUntilTheyChange(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		state := emulator.NewStateService()
		mirror := newMirror(state, openJobs)
		mirror.Parse = func(_ string, value json.RawMessage) any {
			if string(value) == "0" {
				return errors.New("zero")
			}
			return string(value)
		}
		key := openJobs + "wk-1"
		commit(t, state, statekv.Op{Set: key, Value: 0})
		load(t, mirror)
		if listed := mirror.Undecodable(); len(listed) != 1 || listed[key] != "zero" {
			t.Errorf("listed: %v", listed)
		}
		if kv, ok := mirror.Get(key); !ok || string(kv.Value) != "0" {
			t.Errorf("the value is %s", kv.Value)
		}
		go mirror.Run(ctx)
		if err := mirror.Wait(ctx, commit(t, state, statekv.Op{Set: key, Value: 1})); err != nil {
			t.Fatal(err)
		}
		if listed := mirror.Undecodable(); len(listed) != 0 {
			t.Errorf("listed after it changed: %v", listed)
		}
		if kv, _ := mirror.Get(key); kv.Parsed != "1" {
			t.Errorf("parsed as %v", kv.Parsed)
		}
	})
}

// After a read index all can be read that was written before; without an answer there is none.
func TestReadIndexShowsEarlierWrites(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		state := emulator.NewStateService()
		mirror := newMirror(state, openJobs)
		load(t, mirror)
		go mirror.Run(ctx)
		key := openJobs + "wk-1"
		commit(t, state, statekv.Op{Set: key, Value: 1})
		if err := mirror.ReadIndex(ctx); err != nil {
			t.Fatal(err)
		}
		if _, ok := mirror.Get(key); !ok {
			t.Error("what was written before is not there")
		}
		state.SetOutage(true, false)
		if err := mirror.ReadIndex(ctx); !errors.Is(err, statekv.ErrRejected) {
			t.Errorf("in an outage: %v", err)
		}
	})
}
