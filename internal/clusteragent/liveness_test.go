package clusteragent_test

import (
	"testing"
	"time"

	"robinstack/internal/agentapi"
)

// An agent without machines must not answer a watch at once again and again:
// its own feed then asked in a loop that used up the processor.
func TestWatchWithoutMachinesBlocks(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		began := time.Now()
		var reply agentapi.WatchReply
		if err := n.service.Watch(agentapi.WatchRequest{Instance: n.session.Incarnation, Wait: 2 * time.Second}, &reply); err != nil {
			t.Fatal(err)
		}
		if time.Since(began) < 2*time.Second {
			t.Fatal("answered at once with nothing to say")
		}
	})
}

// A worker that nobody can have answered for longer than its lease has ended
// its tasks; before that they keep their places.
func TestUnresponsiveMachineKeepsTasksUntilLeaseExpiry(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		n.commit("m1", "s", epoch, 0, 1)
		n.sendHeartbeat(w)
		bed.workers.WithLock(func() { w.HoldCommands = true })
		time.Sleep(28 * time.Second)
		if e := n.entries()["m1"]; !e.Silent || len(e.Tasks) != 1 {
			t.Fatalf("within the lease: %+v", e)
		}
		time.Sleep(6 * time.Second)
		if e := n.entries()["m1"]; len(e.Tasks) != 0 {
			t.Fatalf("after the lease: %+v", e)
		}
	})
}

// A worker whose lease ran out begins an epoch with a lease of its own, whether
// anybody answers it or not. Controllers that answered commands but, for want of
// processor time, no heartbeats, counted from the last heartbeat of the epoch before:
// they gave tasks up that went on running. Guards against ran_twice.
func TestNewWorkerEpochHasItsOwnLease(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		epoch := n.takeJobShard("s", 0)
		w := bed.workers.Add("m1", "box", "a")
		for range 2 {
			n.sendHeartbeat(w)
			time.Sleep(time.Second)
		}
		bed.workers.WithLock(func() { w.HoldCommands = true })
		n.commit("m1", "s", epoch, 0, 1)
		time.Sleep(14 * time.Second) // after 20 s without a heartbeat it would get nothing new
		bed.workers.WithLock(func() { w.HoldCommands, w.Heartbeat.WorkerEpoch, w.Heartbeat.Tasks = false, 2, nil })
		time.Sleep(3 * time.Second)
		if got := n.commit("m1", "s", epoch, 1, 2); got != agentapi.Started {
			t.Fatalf("result %q", got)
		}
		time.Sleep(20 * time.Second) // beyond the lease of the first epoch, not of the second
		if e := n.entries()["m1"]; len(e.Tasks) != 1 {
			t.Fatalf("the task was given up within its epoch's lease: %+v", e)
		}
		time.Sleep(20 * time.Second)
		if e := n.entries()["m1"]; len(e.Tasks) != 0 {
			t.Fatalf("after the lease: %+v", e)
		}
	})
}

// Commands reach a machine, and its heartbeats come no more: before its lease can end it
// gets nothing new, however well it answers. Its next heartbeat opens it again.
func TestMachineWithLostHeartbeatsGetsNoNewTasks(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		for k := range 4 { // it is asked all the time, and answers
			if got := n.commit("m1", "s", epoch, k, uint64(k+1)); got != agentapi.Started {
				t.Fatalf("result %q", got)
			}
			bed.workers.WithLock(func() { w.Heartbeat.Tasks = nil })
			time.Sleep(6 * time.Second)
		}
		if e := n.entries()["m1"]; !e.Silent {
			t.Errorf("after 25 s without a heartbeat: %+v", e)
		}
		if got := n.commit("m1", "s", epoch, 5, 6); got != agentapi.Refused {
			t.Errorf("result %q", got)
		}
		n.sendHeartbeat(w)
		if got := n.commit("m1", "s", epoch, 6, 7); got != agentapi.Started {
			t.Errorf("once it has sent a heartbeat: result %q", got)
		}
	})
}

// Where the cancellation time is hardly longer than the worker's lease, an owner
// whose lease is held must still answer every heartbeat: it took its own view of
// the fleet for outdated between two watches, and machines went from owner to
// owner for ever.
func TestOwnerAnswersWithShortLeaseGracePeriod(t *testing.T) {
	cancelDeadline = 33 * time.Second
	defer func() { cancelDeadline = 60 * time.Second }()
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		w := bed.workers.Add("m1", "box", "a")
		n.sendHeartbeat(w)
		for i := range 40 {
			time.Sleep(300 * time.Millisecond)
			if !n.sendHeartbeat(w).Owner {
				t.Fatalf("heartbeat %d was turned away", i)
			}
		}
	})
}
