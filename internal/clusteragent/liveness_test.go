package clusteragent_test

import (
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
)

// An agent without machines must not answer consecutive watches at once: its own change feed would
// poll in a tight loop that uses up the CPU.
func TestWatchWithoutMachinesBlocks(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		began := time.Now()
		var reply agentapi.WatchReply
		if err := n.service.Watch(agentapi.WatchRequest{Instance: n.session.Incarnation, Wait: 2 * time.Second}, &reply); err != nil {
			t.Fatal(err)
		}
		if time.Since(began) < 2*time.Second {
			t.Fatal("watch without changes returned before its timeout")
		}
	})
}

// Once no controller can have answered a worker for longer than the worker's lease, the worker has
// ended its tasks. Until then the tasks keep their capacity.
func TestUnresponsiveMachineKeepsTasksUntilLeaseExpiry(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		n.commit("m1", "s", epoch, 0, 1)
		n.sendHeartbeat(w)
		bed.workers.WithLock(func() { w.HoldCommands = true })
		time.Sleep(28 * time.Second)
		if e := n.entries()["m1"]; !e.Silent || len(e.Tasks) != 1 {
			t.Fatalf("within the lease: got %+v, want it unresponsive with one task", e)
		}
		time.Sleep(6 * time.Second)
		if e := n.entries()["m1"]; len(e.Tasks) != 0 {
			t.Fatalf("after the lease: got %+v, want no tasks", e)
		}
	})
}

// A worker whose lease has expired begins a new epoch, which has a lease of its own from its
// beginning, answered or not. A controller short of CPU time may answer commands but no heartbeats;
// if it counted the lease from the last heartbeat of the earlier epoch, it would consider tasks
// gone that are still running. Guards against ran_twice.
func TestNewWorkerEpochHasItsOwnLease(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		epoch := n.acquireJobShard("s", 0)
		w := bed.workers.Add("m1", "box", "a")
		for range 2 {
			n.sendHeartbeat(w)
			time.Sleep(time.Second)
		}
		bed.workers.WithLock(func() { w.HoldCommands = true })
		n.commit("m1", "s", epoch, 0, 1)
		time.Sleep(14 * time.Second) // after 20 s without a heartbeat the machine would get no new tasks
		bed.workers.WithLock(func() { w.HoldCommands, w.Heartbeat.WorkerEpoch, w.Heartbeat.Tasks = false, 2, nil })
		time.Sleep(3 * time.Second)
		if got := n.commit("m1", "s", epoch, 1, 2); got != agentapi.Started {
			t.Fatalf("got result %q, want started", got)
		}
		time.Sleep(20 * time.Second) // longer than the lease of the first epoch, shorter than that of the second
		if e := n.entries()["m1"]; len(e.Tasks) != 1 {
			t.Fatalf("task removed within the lease of its epoch: got %+v, want one task", e)
		}
		time.Sleep(20 * time.Second)
		if e := n.entries()["m1"]; len(e.Tasks) != 0 {
			t.Fatalf("after the lease: got %+v, want no tasks", e)
		}
	})
}

// If commands reach a machine but its heartbeats are lost, it must get no new tasks, even though it
// answers commands: its lease is not renewed and the tasks would be killed when it expires. The
// next heartbeat makes the machine eligible again.
func TestMachineWithLostHeartbeatsGetsNoNewTasks(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		for k := range 4 { // each commit sends a command, which the worker answers
			if got := n.commit("m1", "s", epoch, k, uint64(k+1)); got != agentapi.Started {
				t.Fatalf("got result %q, want started", got)
			}
			bed.workers.WithLock(func() { w.Heartbeat.Tasks = nil })
			time.Sleep(6 * time.Second)
		}
		if e := n.entries()["m1"]; !e.Silent {
			t.Errorf("after 25 s without a heartbeat: got %+v, want it unresponsive", e)
		}
		if got := n.commit("m1", "s", epoch, 5, 6); got != agentapi.Refused {
			t.Errorf("commit without heartbeats: got result %q, want refused", got)
		}
		n.sendHeartbeat(w)
		if got := n.commit("m1", "s", epoch, 6, 7); got != agentapi.Started {
			t.Errorf("commit after a heartbeat: got result %q, want started", got)
		}
	})
}

// If the cancellation deadline is hardly longer than the worker lease, the lease grace period is
// short. An owner that holds its lease must still answer every heartbeat. Otherwise it considers
// its mirror outdated between two watches, and machines move from owner to owner for ever.
func TestOwnerAnswersWithShortLeaseGracePeriod(t *testing.T) {
	cancelDeadline = 33 * time.Second
	defer func() { cancelDeadline = 60 * time.Second }()
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		w := bed.workers.Add("m1", "box", "a")
		n.sendHeartbeat(w)
		for i := range 40 {
			time.Sleep(300 * time.Millisecond)
			if !n.sendHeartbeat(w).Accepted {
				t.Fatalf("heartbeat %d was not accepted", i)
			}
		}
	})
}

// Guards against ran_twice: an owner that does not know its successor takes tasks for gone that the successor keeps.
func TestDeposedOwnerDoesNotExpireLeasesThatItsSuccessorRenews(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		store := emulator.NewFaultyStateClient(bed.state, 1)
		a := bed.startNodeWith(settings(), "host-0", store)
		epoch := a.acquireJobShard("s", 0)
		w := bed.workers.Add("m1", "box", "a")
		a.sendHeartbeat(w)
		time.Sleep(time.Second)
		bed.putJobRecord()
		if got := a.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("commit: got %q, want %q", got, agentapi.Started)
		}
		b := bed.startNode("host-1")
		store.SetRejectAll(true)
		if err := bed.state.Revoke(bed.ctx, 1); err != nil {
			t.Fatal(err)
		}
		for second := range 60 {
			time.Sleep(time.Second)
			b.sendHeartbeat(w)
			if entry := a.entries()["m1"]; entry.Reconciled() && len(entry.Tasks) == 0 && bed.taskCount(w) == 1 {
				t.Fatalf("after %d s the former owner shows %+v, although the task runs", second, entry)
			}
		}
		if entry := b.entries()["m1"]; !entry.Reconciled() || len(entry.Tasks) != 1 {
			t.Fatalf("successor: got %+v, want a reconciled entry with the task", entry)
		}
	})
}
