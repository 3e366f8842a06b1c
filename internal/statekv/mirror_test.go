package statekv_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/statekv"
)

const jobs = statekv.RootPrefix + "job/"

// between does something once, after the first page has been read.
type between struct {
	*emulator.StateService
	then func()
}

func (b *between) List(ctx context.Context, prefix, after string) (statekv.Page, error) {
	p, err := b.StateService.List(ctx, prefix, after)
	if then := b.then; then != nil {
		b.then = nil
		then()
	}
	return p, err
}

// What changes while an empty store is read is seen all the same. Guards against
// controllers that start together and take each other for dead: one took the
// roles of both others, which then refused every submission.
func TestMirrorOfAnEmptyStoreMissesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		state := emulator.NewEmptyStateService()
		store := &between{StateService: state}
		mirror := statekv.NewMirror(store, []string{statekv.ClusterPrefix, jobs}, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
		var other *statekv.Session
		store.then = func() {
			var err error
			if other, err = statekv.OpenSession(ctx, state, mirror, "host-1", time.Hour, statekv.Registration{}); err != nil {
				t.Fatal(err)
			}
		}
		if err := mirror.Load(ctx); err != nil {
			t.Fatal(err)
		}
		member, err := statekv.OpenSession(ctx, store, mirror, "host-0", time.Hour, statekv.Registration{})
		if err != nil {
			t.Fatal(err)
		}
		go mirror.Run(ctx)
		time.Sleep(3 * time.Second)
		if !member.Alive(other.Holder) {
			t.Fatal("the other controller, which registered during the read, is taken for dead")
		}
	})
}

// A role is not taken from a holder that the state service knows to be alive,
// whatever the taker's mirror shows; and who lost one ends its life.
func TestRoleOfALivingHolderIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		state := emulator.NewStateService()
		blind := statekv.NewMirror(state, nil, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
		holder, err := statekv.OpenSession(ctx, state, blind, "host-1", time.Hour, statekv.Registration{})
		if err != nil {
			t.Fatal(err)
		}
		taker, err := statekv.OpenSession(ctx, state, blind, "host-0", time.Hour, statekv.Registration{})
		if err != nil {
			t.Fatal(err)
		}
		rev, err := holder.Acquire(ctx, statekv.Role{Key: statekv.LeaderKey, Value: holder.Holder})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := taker.Acquire(ctx, statekv.Role{Key: statekv.LeaderKey, ExpectedRev: rev, PreviousHolder: holder.Holder, Value: taker.Holder}); !statekv.IsConflict(err) {
			t.Fatalf("taking the role of a living holder: %v", err)
		}
		ended := make(chan error, 1)
		go func() { ended <- holder.KeepAlive(ctx) }()
		holder.Abort(context.Canceled)
		synctest.Wait()
		select {
		case <-ended:
		default:
			t.Fatal("a life whose role was taken goes on")
		}
	})
}

// After all controllers have crashed several of them try to take the same roles.
// One that is lost to another, or whose holder lives after all, must not keep the
// rest of its transaction from being taken, nor cost a request of its own.
func TestRolesAreTakenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); synctest.Wait() }()
		state := emulator.NewStateService()
		mirror := statekv.NewMirror(state, []string{statekv.ClusterPrefix}, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
		join := func(host string) *statekv.Session {
			m, err := statekv.OpenSession(ctx, state, mirror, host, time.Hour, statekv.Registration{})
			if err != nil {
				t.Fatal(err)
			}
			return m
		}
		other, taker := join("host-1"), join("host-0")
		var roles []statekv.Role
		for i := range 60 {
			roles = append(roles, statekv.Role{Key: fmt.Sprintf("%s%d", statekv.MachineShardPrefix, i), PreviousHolder: statekv.Holder{Host: "host-9", Incarnation: 1}, Value: taker.Holder})
		}
		roles[7].PreviousHolder = other.Holder // lives, which the mirror does not show
		if _, err := other.Acquire(ctx, statekv.Role{Key: roles[30].Key, Value: other.Holder}); err != nil {
			t.Fatal(err)
		}
		before := state.Changes()
		taken, err := taker.AcquireAll(ctx, roles, 24)
		if err != nil {
			t.Fatal(err)
		}
		if len(taken) != 58 || taken[roles[7].Key] != 0 || taken[roles[30].Key] != 0 || state.Changes()-before != 58 {
			t.Fatalf("took %d of 60 with %d changes", len(taken), state.Changes()-before)
		}
	})
}

// What has to be heard first is: whoever waits for a revision finds that those have taken
// note of it, also when all is read anew.
func TestFirstHearsBeforeTheRevisionCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		state := emulator.NewStateService()
		mirror := statekv.NewMirror(state, []string{jobs}, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
		heard := 0
		mirror.OnApply = func(events []statekv.Event) {
			for _, e := range events {
				heard++
				if mirror.Rev() >= e.Rev {
					t.Errorf("revision %d counted as seen before %s was heard of", e.Rev, e.Key())
				}
				if _, ok := mirror.Get(e.Key()); !ok {
					t.Errorf("%s is not there", e.Key())
				}
			}
		}
		if err := mirror.Load(ctx); err != nil {
			t.Fatal(err)
		}
		go mirror.Run(ctx)
		for k := range 5 {
			rev, err := state.Txn(ctx, nil, []statekv.Op{{Set: fmt.Sprintf("%swk-%d", jobs, k), Value: k}})
			if err != nil || mirror.Wait(ctx, rev) != nil {
				t.Fatal(err)
			}
		}
		if heard != 5 {
			t.Errorf("%d of 5 were heard of", heard)
		}
	})
}
