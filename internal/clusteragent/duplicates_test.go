package clusteragent_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/config"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// startPair starts two controllers; the first owns machine m1, on which task wk-1/0 runs.
func (bed *testbed) startPair() (a, b *node, w *emulator.Worker, epoch uint64) {
	bed.t.Helper()
	with := func(host, peer string) *node {
		s := settings()
		s.Host, s.Peers = host, []config.Peer{{Host: peer}}
		return bed.startNodeWith(s, host, bed.state)
	}
	a, b = with("host-0", "host-1"), with("host-1", "host-0")
	epoch = a.takeJobShard("s", 0)
	w = bed.workers.Add("m1", "box", "")
	a.sendHeartbeat(w)
	time.Sleep(time.Second)
	a.sendHeartbeat(w)
	if got := a.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
		bed.t.Fatalf("result %q", got)
	}
	a.sendHeartbeat(w)
	return a, b, w, epoch
}

// lastHeartbeat is the heartbeat that the worker sent last, once more.
func (bed *testbed) lastHeartbeat(w *emulator.Worker) (r worker.Heartbeat) {
	bed.workers.WithLock(func() {
		r = w.Heartbeat
		r.Tasks = append([]worker.Task(nil), w.Heartbeat.Tasks...)
	})
	return r
}

// A machine dies. Copies of its last heartbeat go on coming to its owner, for longer than
// its lease: they renew nothing, so that its tasks are given up as early as without
// them, and it does not count as responsive. Guards against a lease counted from whatever
// comes in.
func TestDuplicateHeartbeatsRenewNoLease(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a, _, w, _ := bed.startPair()
		last := bed.lastHeartbeat(w)
		bed.workers.WithLock(func() { w.HoldCommands = true })
		died := time.Now()
		for time.Since(died) < 36*time.Second {
			time.Sleep(2 * time.Second)
			if reply := a.agent.Heartbeat(bed.ctx, &last); len(reply.Answer.Commands) > 0 {
				t.Fatalf("a copy was given commands: %+v", reply)
			}
			e := a.entries()["m1"]
			if late := time.Since(died) > 12*time.Second; late && !e.Silent {
				t.Fatalf("after %v it counts as responsive", time.Since(died))
			}
		}
		if n := len(a.entries()["m1"].Tasks); n != 0 {
			t.Errorf("%d tasks are still booked %v after the machine died", n, time.Since(died))
		}
	})
}

// Copies of an earlier epoch, and of an earlier moment of this one, prove nothing: what
// came since stays, and what has gone does not come back.
func TestDuplicateHeartbeatsChangeNoTasks(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a, _, w, epoch := bed.startPair()
		before := bed.lastHeartbeat(w)            // with the first task only
		overtaken := bed.workers.NextHeartbeat(w) // a heartbeat that the answer to a command overtakes
		if got := a.commit("m1", "s", epoch, 1, 2); got != agentapi.Started {
			t.Fatalf("result %q", got)
		}
		a.agent.Heartbeat(bed.ctx, &overtaken)
		if n := len(a.entries()["m1"].Tasks); n != 2 {
			t.Fatalf("a heartbeat that was overtaken left %d tasks of 2", n)
		}
		a.sendHeartbeat(w)
		a.agent.Heartbeat(bed.ctx, &before)
		if n := len(a.entries()["m1"].Tasks); n != 2 {
			t.Fatalf("a copy of before left %d tasks of 2", n)
		}
		// Its lease runs out: a new epoch, without tasks.
		bed.workers.WithLock(func() { w.Heartbeat.WorkerEpoch, w.Heartbeat.Tasks = 2, nil })
		a.sendHeartbeat(w)
		for range 5 {
			a.agent.Heartbeat(bed.ctx, &before)
			time.Sleep(time.Second)
		}
		if got := a.entries()["m1"].Tasks; len(got) != 0 {
			t.Fatalf("a copy of the earlier epoch brought back %v", got)
		}
	})
}

// Copies that reach another controller are no workers that cannot reach their owner: it
// takes nothing, however many come; one whose heartbeats do come is taken.
func TestDuplicateHeartbeatsElsewhereCauseNoTakeover(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a, b, w, _ := bed.startPair()
		rev := a.entries()["m1"].Rev
		last := bed.lastHeartbeat(w)
		for range 20 {
			b.agent.Heartbeat(bed.ctx, &last)
			time.Sleep(time.Second)
			a.sendHeartbeat(w)
		}
		if kv, ok := b.entries()["m1"]; ok || a.entries()["m1"].Rev != rev {
			t.Fatalf("a machine was taken for copies of its heartbeat: %+v", kv)
		}
		for range 6 {
			r := bed.workers.NextHeartbeat(w)
			b.agent.Heartbeat(bed.ctx, &r)
			time.Sleep(4 * time.Second)
		}
		if _, ok := b.entries()["m1"]; !ok {
			t.Fatal("a worker that came six times was not taken")
		}
	})
}

// Copies for a machine that was deleted revive nothing: no key is written for it, by
// whichever controller they reach.
func TestDuplicateHeartbeatsOfDeletedMachineAreIgnored(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a, b, w, _ := bed.startPair()
		last := bed.lastHeartbeat(w)
		if err := a.service.Removed(agentapi.MachinesRequest{Names: []string{"m1"}}, &agentapi.MachinesReply{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		key := statekv.MachinePrefix + "m1"
		if _, err := bed.state.Get(bed.ctx, key); err == nil {
			t.Fatal("its key was not removed")
		}
		for _, n := range []*node{a, b} { // as the controller's watch tells
			n.agent.OnMachineRemoved("m1")
		}
		for range 60 {
			a.agent.Heartbeat(bed.ctx, &last)
			b.agent.Heartbeat(bed.ctx, &last)
			time.Sleep(2 * time.Second)
			if _, err := bed.state.Get(bed.ctx, key); err == nil {
				t.Fatal("a copy had it claimed again")
			}
		}
	})
}

// A machine whose heartbeats arrive while answers and commands do not: it gets nothing new
// after one command, counts as unresponsive after three, and its task goes elsewhere when the
// next epoch proves it gone and not before. It is used again once commands get
// through.
func TestMachineWithLostCommandsGetsNothingNew(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a, _, w, epoch := bed.startPair()
		bed.workers.WithLock(func() { w.HoldCommands = true })
		began := time.Now()
		beat := func() { // its heartbeats arrive; what is answered does not
			r := bed.workers.NextHeartbeat(w)
			a.agent.Heartbeat(bed.ctx, &r)
			time.Sleep(3 * time.Second)
		}
		if got := a.commit("m1", "s", epoch, 1, 2); got != agentapi.Unresolved {
			t.Fatalf("result %q without an answer", got)
		}
		beat()
		if got := a.commit("m1", "s", epoch, 2, 3); got != agentapi.Refused {
			t.Fatalf("it got another task: %q", got)
		}
		for time.Since(began) < 12*time.Second {
			beat()
		}
		if !a.entries()["m1"].Silent {
			t.Fatal("it counts as one that serves")
		}
		for time.Since(began) < 34*time.Second {
			beat()
			if n := len(a.entries()["m1"].Tasks); n != 2 {
				t.Fatalf("after %v: %d tasks are booked, and nothing is proven", time.Since(began), n)
			}
		}
		bed.workers.WithLock(func() { w.Heartbeat.WorkerEpoch, w.Heartbeat.Tasks = 2, nil }) // by its own clock
		beat()
		if got := a.entries()["m1"].Tasks; len(got) != 0 {
			t.Fatalf("the next epoch proves %v gone", got)
		}
		if !a.entries()["m1"].Silent {
			t.Fatal("it counts as one that serves, and commands still do not reach it")
		}
		bed.workers.WithLock(func() { w.HoldCommands = false })
		time.Sleep(3 * time.Second)
		a.sendHeartbeat(w)
		if a.entries()["m1"].Silent {
			t.Fatal("it answers, and counts as unresponsive")
		}
		if got := a.commit("m1", "s", epoch, 2, 4); got != agentapi.Started {
			t.Fatalf("it is not used again: %q", got)
		}
		bed.workers.DeliverHeldCommands(w)
		if n := bed.taskCount(w); n != 1 {
			t.Errorf("%d tasks run: a command that was lost was carried out late", n)
		}
	})
}

// Heartbeats that cannot be a machine's change nothing, and its own go on to count: numbers
// that leap out of range would make all later ones old.
func TestMalformedHeartbeatsAreRejected(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a, _, w, epoch := bed.startPair()
		for what, change := range map[string]func(*worker.Heartbeat){
			"a huge sequence":           func(r *worker.Heartbeat) { r.Sequence = 1 << 63 },
			"a huge epoch":              func(r *worker.Heartbeat) { r.WorkerEpoch = 1 << 62 },
			"another machine's address": func(r *worker.Heartbeat) { r.Address = "m7" },
		} {
			r := bed.workers.NextHeartbeat(w)
			r.Tasks = nil
			change(&r)
			if reply := a.agent.Heartbeat(bed.ctx, &r); reply.Malformed == "" {
				t.Errorf("%s: %+v", what, reply)
			}
			if n := len(a.entries()["m1"].Tasks); n != 1 {
				t.Fatalf("%s: %d tasks are booked", what, n)
			}
		}
		back := bed.lastHeartbeat(w)
		back.Sequence, back.WorkerEpoch, back.Tasks = 1, 0, nil
		a.agent.Heartbeat(bed.ctx, &back)
		a.sendHeartbeat(w)
		if got := a.commit("m1", "s", epoch, 1, 2); got != agentapi.Started || bed.taskCount(w) != 2 {
			t.Errorf("its own heartbeats do not count any more: %q", got)
		}
	})
}

// A controller loses the state service and the others, and keeps its workers: it starts
// nothing, answers them for its lease grace period and no longer, and its successor counts that
// in.
func TestOwnerCutOffFromStateAnswersForLeaseGracePeriod(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		cut := &cutOffState{StateService: bed.state}
		a := bed.startNodeWith(settings(), "host-0", cut)
		b := bed.startNode("host-1")
		epoch := a.takeJobShard("s", 0)
		w := bed.workers.Add("m1", "box", "")
		a.sendHeartbeat(w)
		time.Sleep(time.Second)
		if got := a.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("result %q", got)
		}
		cut.off.Store(true)
		bed.workers.WithLock(func() { w.HoldCommands = true }) // the zone is cut off with it: nobody else reaches them
		began := time.Now()
		time.Sleep(4 * time.Second)
		if err := bed.state.Revoke(bed.ctx, 1); err != nil { // its state lease is over
			t.Fatal(err)
		}
		if got := a.commit("m1", "s", epoch, 1, 2); got != agentapi.Refused {
			t.Fatalf("an owner that may be none any more started a task: %q", got)
		}
		last := time.Now()
		for time.Since(began) < 50*time.Second {
			if reply := a.sendHeartbeat(w); reply.Owner {
				last = time.Now()
			}
			time.Sleep(time.Second)
		}
		if held := last.Sub(began); held > settings().LeaseGracePeriod() || held < settings().LeaseGracePeriod()-6*time.Second {
			t.Errorf("it answered for %v; the lease grace period is %v", held, settings().LeaseGracePeriod())
		}
		// The worker's lease counts from there, and the successor knows.
		for time.Since(last) < settings().Workers.LeaseDuration {
			if e, ok := b.entries()["m1"]; ok && e.Settled && len(e.Tasks) == 0 {
				t.Fatalf("given up %v after its last answer", time.Since(last))
			}
			time.Sleep(time.Second)
		}
	})
}

// cutOffState is a state service that one controller does not reach any more.
type cutOffState struct {
	*emulator.StateService
	off atomic.Bool
}

func (c *cutOffState) Get(ctx context.Context, key string) (statekv.KV, error) {
	if c.off.Load() {
		return statekv.KV{}, statekv.ErrOutcomeUnknown
	}
	return c.StateService.Get(ctx, key)
}

func (c *cutOffState) List(ctx context.Context, prefix, after string) (statekv.Page, error) {
	if c.off.Load() {
		return statekv.Page{}, statekv.ErrOutcomeUnknown
	}
	return c.StateService.List(ctx, prefix, after)
}

func (c *cutOffState) Txn(ctx context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error) {
	if c.off.Load() {
		return 0, statekv.ErrOutcomeUnknown
	}
	return c.StateService.Txn(ctx, when, then)
}

func (c *cutOffState) Renew(ctx context.Context, lease uint64) error {
	if c.off.Load() {
		return statekv.ErrOutcomeUnknown
	}
	return c.StateService.Renew(ctx, lease)
}

func (c *cutOffState) Watch(ctx context.Context, prefix string, since uint64, block time.Duration) (statekv.WatchResponse, error) {
	if c.off.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(block):
		}
		return statekv.WatchResponse{}, statekv.ErrOutcomeUnknown
	}
	return c.StateService.Watch(ctx, prefix, since, block)
}
