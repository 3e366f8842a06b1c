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

// changingStore calls change once, after the first page of a listing has been read.
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

// A change that is made while an empty store is loaded is seen. Guards against controllers that
// start together and take each other for failed: one of them took over the roles of both others,
// which then rejected every submission.
func TestMirrorSeesChangesDuringLoadOfEmptyStore(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		state := emulator.NewStateServiceAtRevisionZero()
		store := &changingStore{StateService: state}
		mirror := newMirror(store, statekv.ClusterPrefix, jobPrefix)
		var other *statekv.Session
		store.change = func() { other = openSession(t, state, mirror, "host-1", time.Hour) }
		load(t, mirror)
		session := openSession(t, store, mirror, "host-0", time.Hour)
		go mirror.Run(ctx)
		time.Sleep(3 * time.Second)
		if !session.Alive(other.Holder) {
			t.Fatal("the controller that registered during the load is not alive according to the mirror")
		}
	})
}

// When Wait returns for a revision, OnApply has processed its changes and the mirror shows them.
func TestOnApplyPrecedesRevision(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		state := emulator.NewStateService()
		mirror := newMirror(state, jobPrefix)
		applied := 0
		mirror.OnApply = func(events []statekv.Event) {
			for _, e := range events {
				applied++
				if mirror.Rev() >= e.Rev {
					t.Errorf("revision %d was published before OnApply was called for %s", e.Rev, e.Key())
				}
				if _, ok := mirror.Get(e.Key()); !ok {
					t.Errorf("%s is missing from the mirror during OnApply", e.Key())
				}
			}
		}
		load(t, mirror)
		go mirror.Run(ctx)
		for k := range 5 {
			rev := commit(t, state, statekv.Op{Set: fmt.Sprintf("%swk-%d", jobPrefix, k), Value: k})
			if err := mirror.Wait(ctx, rev); err != nil {
				t.Fatal(err)
			}
		}
		if applied != 5 {
			t.Errorf("OnApply got %d changes, want 5", applied)
		}
	})
}

// A key with an undecodable value is listed with the reason until it changes, and its value is
// kept.
func TestUndecodableKeysAreListedUntilTheyChange(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		state := emulator.NewStateService()
		mirror := newMirror(state, jobPrefix)
		mirror.Parse = func(_ string, value json.RawMessage) any {
			if string(value) == "0" {
				return errors.New("zero")
			}
			return string(value)
		}
		key := jobPrefix + "wk-1"
		commit(t, state, statekv.Op{Set: key, Value: 0})
		load(t, mirror)
		if listed := mirror.Undecodable(); len(listed) != 1 || listed[key] != "zero" {
			t.Errorf("undecodable keys: got %v, want %s with the reason zero", listed, key)
		}
		if kv, ok := mirror.Get(key); !ok || string(kv.Value) != "0" {
			t.Errorf("undecodable value: got %s, want 0", kv.Value)
		}
		go mirror.Run(ctx)
		if err := mirror.Wait(ctx, commit(t, state, statekv.Op{Set: key, Value: 1})); err != nil {
			t.Fatal(err)
		}
		if listed := mirror.Undecodable(); len(listed) != 0 {
			t.Errorf("undecodable keys after the change: got %v, want none", listed)
		}
		if kv, _ := mirror.Get(key); kv.Parsed != "1" {
			t.Errorf("parsed value: got %v, want 1", kv.Parsed)
		}
	})
}

// After ReadIndex the mirror shows every earlier write. If the service does not answer, ReadIndex
// returns an error.
func TestReadIndexShowsEarlierWrites(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		state := emulator.NewStateService()
		mirror := newMirror(state, jobPrefix)
		load(t, mirror)
		go mirror.Run(ctx)
		key := jobPrefix + "wk-1"
		commit(t, state, statekv.Op{Set: key, Value: 1})
		if err := mirror.ReadIndex(ctx); err != nil {
			t.Fatal(err)
		}
		if _, ok := mirror.Get(key); !ok {
			t.Error("a key written before ReadIndex is missing from the mirror")
		}
		state.SetOutage(true, false)
		if err := mirror.ReadIndex(ctx); !errors.Is(err, statekv.ErrRejected) {
			t.Errorf("ReadIndex during an outage: got error %v, want ErrRejected", err)
		}
	})
}
