package statekv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/fakes"
	"robinstack/statekv"
)

const jobs = statekv.RootPrefix + "job/"

// between does something once, after the first page has been read.
type between struct {
	*fakes.State
	then func()
}

func (b *between) List(ctx context.Context, prefix, after string) (statekv.Page, error) {
	p, err := b.State.List(ctx, prefix, after)
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
		state := fakes.NewEmptyState()
		store := &between{State: state}
		mirror := statekv.NewMirror(store, []string{statekv.FleetPrefix, jobs}, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
		var other *statekv.Member
		store.then = func() {
			var err error
			if other, err = statekv.Join(ctx, state, mirror, "host-1", time.Hour); err != nil {
				t.Fatal(err)
			}
		}
		if err := mirror.Load(ctx); err != nil {
			t.Fatal(err)
		}
		member, err := statekv.Join(ctx, store, mirror, "host-0", time.Hour)
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
		state := fakes.NewState()
		blind := statekv.NewMirror(state, nil, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
		holder, err := statekv.Join(ctx, state, blind, "host-1", time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		taker, err := statekv.Join(ctx, state, blind, "host-0", time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		rev, err := holder.Take(ctx, statekv.StewardKey, 0, statekv.Holder{}, holder.Holder)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := taker.Take(ctx, statekv.StewardKey, rev, holder.Holder, taker.Holder); !statekv.IsConflict(err) {
			t.Fatalf("taking the role of a living holder: %v", err)
		}
		ended := make(chan error, 1)
		go func() { ended <- holder.Keep(ctx) }()
		holder.Replaced(context.Canceled)
		synctest.Wait()
		select {
		case <-ended:
		default:
			t.Fatal("a life whose role was taken goes on")
		}
	})
}
