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

// startPair starts two controllers. The first owns machine m1, which runs task wk-1/0.
func (bed *testbed) startPair() (a, b *node, w *emulator.Worker, epoch uint64) {
	bed.t.Helper()
	startWithPeer := func(host, peer string) *node {
		s := settings()
		s.Host, s.Peers = host, []config.Peer{{Host: peer}}
		return bed.startNodeWith(s, host, bed.state)
	}
	a, b = startWithPeer("host-0", "host-1"), startWithPeer("host-1", "host-0")
	epoch = a.acquireJobShard("s", 0)
	w = bed.workers.Add("m1", "box", "")
	a.sendHeartbeat(w)
	time.Sleep(time.Second)
	a.sendHeartbeat(w)
	if got := a.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
		bed.t.Fatalf("commit: got %q, want %q", got, agentapi.Started)
	}
	a.sendHeartbeat(w)
	return a, b, w, epoch
}

// lastHeartbeat returns a copy of the heartbeat that the worker sent last.
func (bed *testbed) lastHeartbeat(w *emulator.Worker) (heartbeat worker.Heartbeat) {
	bed.workers.WithLock(func() {
		heartbeat = w.Heartbeat
		heartbeat.Tasks = append([]worker.Task(nil), w.Heartbeat.Tasks...)
	})
	return heartbeat
}

// A machine fails, and duplicates of its last heartbeat keep arriving at its owner for longer than
// its lease. They must not renew the lease: its tasks are given up as early as without duplicates,
// and the machine counts as unresponsive. Guards against a lease that any arriving heartbeat
// renews.
func TestDuplicateHeartbeatsRenewNoLease(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a, _, w, _ := bed.startPair()
		last := bed.lastHeartbeat(w)
		bed.workers.WithLock(func() { w.HoldCommands = true })
		failedAt := time.Now()
		for time.Since(failedAt) < 36*time.Second {
			time.Sleep(2 * time.Second)
			if reply := a.agent.Heartbeat(bed.ctx, &last); len(reply.Answer.Commands) > 0 {
				t.Fatalf("duplicate heartbeat: got commands in %+v, want none", reply)
			}
			e := a.entries()["m1"]
			if late := time.Since(failedAt) > 12*time.Second; late && !e.Silent {
				t.Fatalf("machine still counts as responsive after %v, want unresponsive after 12s", time.Since(failedAt))
			}
		}
		if n := len(a.entries()["m1"].Tasks); n != 0 {
			t.Errorf("got %d tasks %v after the machine failed, want 0", n, time.Since(failedAt))
		}
	})
}

// Duplicates of heartbeats from an earlier worker epoch, or from earlier in the same epoch, prove
// nothing: tasks that started since must stay, and tasks that ended must not return.
func TestDuplicateHeartbeatsChangeNoTasks(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a, _, w, epoch := bed.startPair()
		earlier := bed.lastHeartbeat(w)           // lists only the first task
		overtaken := bed.workers.NextHeartbeat(w) // arrives after the answer to a later command
		if got := a.commit("m1", "s", epoch, 1, 2); got != agentapi.Started {
			t.Fatalf("commit: got %q, want %q", got, agentapi.Started)
		}
		a.agent.Heartbeat(bed.ctx, &overtaken)
		if n := len(a.entries()["m1"].Tasks); n != 2 {
			t.Fatalf("after an overtaken heartbeat: got %d tasks, want 2", n)
		}
		a.sendHeartbeat(w)
		a.agent.Heartbeat(bed.ctx, &earlier)
		if n := len(a.entries()["m1"].Tasks); n != 2 {
			t.Fatalf("after a duplicate from the same epoch: got %d tasks, want 2", n)
		}
		// The worker's lease expires: a new epoch begins, without tasks.
		bed.workers.WithLock(func() { w.Heartbeat.WorkerEpoch, w.Heartbeat.Tasks = 2, nil })
		a.sendHeartbeat(w)
		for range 5 {
			a.agent.Heartbeat(bed.ctx, &earlier)
			time.Sleep(time.Second)
		}
		if got := a.entries()["m1"].Tasks; len(got) != 0 {
			t.Fatalf("after duplicates from the earlier epoch: got tasks %v, want none", got)
		}
	})
}

// Duplicates that arrive at another controller do not show that a worker cannot reach its owner:
// that controller must take over nothing, however many arrive. It takes over the machine once new
// heartbeats of the worker arrive.
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
		if entry, ok := b.entries()["m1"]; ok || a.entries()["m1"].Rev != rev {
			t.Fatalf("after duplicates of heartbeats: got a takeover of the machine, want none: %+v", entry)
		}
		for range 6 {
			heartbeat := bed.workers.NextHeartbeat(w)
			b.agent.Heartbeat(bed.ctx, &heartbeat)
			time.Sleep(4 * time.Second)
		}
		if _, ok := b.entries()["m1"]; !ok {
			t.Fatal("got no takeover of the machine after six heartbeats, want one")
		}
	})
}

// Duplicates of the heartbeats of a deleted machine must not register the machine again: no key is
// written for it, whichever controller they reach.
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
			t.Fatal("key of the deleted machine was not removed")
		}
		for _, n := range []*node{a, b} { // the controller calls this on the watch event
			n.agent.OnMachineRemoved("m1")
		}
		for range 60 {
			a.agent.Heartbeat(bed.ctx, &last)
			b.agent.Heartbeat(bed.ctx, &last)
			time.Sleep(2 * time.Second)
			if _, err := bed.state.Get(bed.ctx, key); err == nil {
				t.Fatal("deleted machine was claimed again after a duplicate heartbeat")
			}
		}
	})
}

// The heartbeats of a machine arrive, but answers and commands to it are lost. The machine gets no
// new tasks after one lost command and counts as unresponsive after three. Its task is started
// elsewhere when the next worker epoch proves that it is gone, and not before. The machine is used
// again once commands arrive.
func TestMachineWithLostCommandsGetsNoNewTasks(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a, _, w, epoch := bed.startPair()
		bed.workers.WithLock(func() { w.HoldCommands = true })
		start := time.Now()
		sendWithoutAnswer := func() { // the heartbeat arrives; the answer is lost
			heartbeat := bed.workers.NextHeartbeat(w)
			a.agent.Heartbeat(bed.ctx, &heartbeat)
			time.Sleep(3 * time.Second)
		}
		if got := a.commit("m1", "s", epoch, 1, 2); got != agentapi.Unresolved {
			t.Fatalf("commit without an answer: got %q, want %q", got, agentapi.Unresolved)
		}
		sendWithoutAnswer()
		if got := a.commit("m1", "s", epoch, 2, 3); got != agentapi.Refused {
			t.Fatalf("commit after a lost command: got %q, want %q", got, agentapi.Refused)
		}
		for time.Since(start) < 12*time.Second {
			sendWithoutAnswer()
		}
		if !a.entries()["m1"].Silent {
			t.Fatal("machine counts as responsive after three lost commands, want unresponsive")
		}
		for time.Since(start) < 34*time.Second {
			sendWithoutAnswer()
			if n := len(a.entries()["m1"].Tasks); n != 2 {
				t.Fatalf("after %v: got %d tasks, want 2 until the next worker epoch", time.Since(start), n)
			}
		}
		bed.workers.WithLock(func() { w.Heartbeat.WorkerEpoch, w.Heartbeat.Tasks = 2, nil }) // the lease expires by the worker's own clock
		sendWithoutAnswer()
		if got := a.entries()["m1"].Tasks; len(got) != 0 {
			t.Fatalf("after the next worker epoch: got tasks %v, want none", got)
		}
		if !a.entries()["m1"].Silent {
			t.Fatal("machine counts as responsive while commands are still lost, want unresponsive")
		}
		bed.workers.WithLock(func() { w.HoldCommands = false })
		time.Sleep(3 * time.Second)
		a.sendHeartbeat(w)
		if a.entries()["m1"].Silent {
			t.Fatal("machine counts as unresponsive although it answers, want responsive")
		}
		if got := a.commit("m1", "s", epoch, 2, 4); got != agentapi.Started {
			t.Fatalf("commit after commands arrive again: got %q, want %q", got, agentapi.Started)
		}
		bed.workers.DeliverHeldCommands(w)
		if n := bed.taskCount(w); n != 1 {
			t.Errorf("got %d running tasks, want 1: a lost command was executed late", n)
		}
	})
}

// Heartbeats with impossible values must change nothing, and later valid heartbeats must still
// count: a sequence number or epoch far out of range would make all later ones look old.
func TestMalformedHeartbeatsAreRejected(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a, _, w, epoch := bed.startPair()
		for name, change := range map[string]func(*worker.Heartbeat){
			"sequence out of range":     func(heartbeat *worker.Heartbeat) { heartbeat.Sequence = 1 << 63 },
			"epoch out of range":        func(heartbeat *worker.Heartbeat) { heartbeat.WorkerEpoch = 1 << 62 },
			"another machine's address": func(heartbeat *worker.Heartbeat) { heartbeat.Address = "m7" },
		} {
			heartbeat := bed.workers.NextHeartbeat(w)
			heartbeat.Tasks = nil
			change(&heartbeat)
			if reply := a.agent.Heartbeat(bed.ctx, &heartbeat); reply.Malformed == "" {
				t.Errorf("%s: got reply %+v, want it rejected as malformed", name, reply)
			}
			if n := len(a.entries()["m1"].Tasks); n != 1 {
				t.Fatalf("%s: got %d tasks, want 1", name, n)
			}
		}
		regressed := bed.lastHeartbeat(w)
		regressed.Sequence, regressed.WorkerEpoch, regressed.Tasks = 1, 0, nil
		a.agent.Heartbeat(bed.ctx, &regressed)
		a.sendHeartbeat(w)
		if got := a.commit("m1", "s", epoch, 1, 2); got != agentapi.Started || bed.taskCount(w) != 2 {
			t.Errorf("commit after malformed heartbeats: got %q and %d tasks, want %q and 2", got, bed.taskCount(w), agentapi.Started)
		}
	})
}

// A controller loses the state service and the other controllers but still reaches its workers. It
// must start no tasks and answer its workers for the lease grace period and no longer. Its
// successor takes this period into account.
func TestOwnerCutOffFromStateAnswersForLeaseGracePeriod(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		store := &unreachableState{StateService: bed.state}
		a := bed.startNodeWith(settings(), "host-0", store)
		b := bed.startNode("host-1")
		epoch := a.acquireJobShard("s", 0)
		w := bed.workers.Add("m1", "box", "")
		a.sendHeartbeat(w)
		time.Sleep(time.Second)
		if got := a.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("commit: got %q, want %q", got, agentapi.Started)
		}
		store.cutOff.Store(true)
		bed.workers.WithLock(func() { w.HoldCommands = true }) // the zone is cut off too: no other controller reaches the workers
		start := time.Now()
		time.Sleep(4 * time.Second)
		if err := bed.state.Revoke(bed.ctx, 1); err != nil { // the state lease of a's session ends
			t.Fatal(err)
		}
		if got := a.commit("m1", "s", epoch, 1, 2); got != agentapi.Refused {
			t.Fatalf("commit at an owner without a session: got %q, want %q", got, agentapi.Refused)
		}
		lastAnswer := time.Now()
		for time.Since(start) < 50*time.Second {
			if reply := a.sendHeartbeat(w); reply.Accepted {
				lastAnswer = time.Now()
			}
			time.Sleep(time.Second)
		}
		if answeredFor := lastAnswer.Sub(start); answeredFor > settings().LeaseGracePeriod() || answeredFor < settings().LeaseGracePeriod()-6*time.Second {
			t.Errorf("owner answered for %v, want the lease grace period of %v, less at most 6s", answeredFor, settings().LeaseGracePeriod())
		}
		// The worker's lease counts from the last answer, and the successor takes this into
		// account.
		for time.Since(lastAnswer) < settings().Workers.LeaseDuration {
			if e, ok := b.entries()["m1"]; ok && e.Settled && len(e.Tasks) == 0 {
				t.Fatalf("tasks were given up %v after the last answer, want at least %v", time.Since(lastAnswer), settings().Workers.LeaseDuration)
			}
			time.Sleep(time.Second)
		}
	})
}

// unreachableState is a state service that one controller cannot reach while cutOff is set.
type unreachableState struct {
	*emulator.StateService
	cutOff atomic.Bool
}

func (c *unreachableState) Get(ctx context.Context, key string) (statekv.KV, error) {
	if c.cutOff.Load() {
		return statekv.KV{}, statekv.ErrOutcomeUnknown
	}
	return c.StateService.Get(ctx, key)
}

func (c *unreachableState) List(ctx context.Context, prefix, after string) (statekv.Page, error) {
	if c.cutOff.Load() {
		return statekv.Page{}, statekv.ErrOutcomeUnknown
	}
	return c.StateService.List(ctx, prefix, after)
}

func (c *unreachableState) Txn(ctx context.Context, compares []statekv.Compare, ops []statekv.Op) (uint64, error) {
	if c.cutOff.Load() {
		return 0, statekv.ErrOutcomeUnknown
	}
	return c.StateService.Txn(ctx, compares, ops)
}

func (c *unreachableState) Renew(ctx context.Context, lease uint64) error {
	if c.cutOff.Load() {
		return statekv.ErrOutcomeUnknown
	}
	return c.StateService.Renew(ctx, lease)
}

func (c *unreachableState) Watch(ctx context.Context, prefix string, since uint64, block time.Duration) (statekv.WatchResponse, error) {
	if c.cutOff.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(block):
		}
		return statekv.WatchResponse{}, statekv.ErrOutcomeUnknown
	}
	return c.StateService.Watch(ctx, prefix, since, block)
}
