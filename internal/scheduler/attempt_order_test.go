package scheduler_test

import (
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// checkRunsOnce fails the test if any task is on more than one machine.
func (checker *invariantChecker) checkRunsOnce() {
	checker.t.Helper()
	for task, machines := range checker.machinesByTask() {
		if len(machines) > 1 {
			checker.t.Fatalf("task %s is on %v, want one machine", task, machines)
		}
	}
}

// Invariant ran_twice: a worker refuses a start, and the entry that shows it arrives after the start elsewhere.
func TestStartRefusedByWorkerIsNotRepeatedAfterFallback(t *testing.T) {
	for _, delayed := range hosts {
		t.Run("entries of "+delayed+" are late", func(t *testing.T) {
			runScenario(t, func(cluster *testCluster) {
				cluster.endpoints[cluster.machines[0]], cluster.endpoints[cluster.machines[1]] = "host-0", "host-1"
				cluster.machines = append(cluster.machines, cluster.workers.Add("m3", "box", "a"))
				first := cluster.start("host-0")
				cluster.start("host-1")
				cluster.advance(8 * time.Second)
				cluster.workers.WithLock(func() {
					cluster.machines[0].StartsToRefuse, cluster.machines[1].StartsToRefuse = 1, 1
				})
				cluster.entryDelay, cluster.delayedBy = 400*time.Millisecond, delayed
				checker := newInvariantChecker(cluster)
				cluster.submit(first, newSpec("wk-1", job.Array, 2, 2))
				for range 100 {
					time.Sleep(50 * time.Millisecond)
					checker.checkRunsOnce()
				}
				cluster.advance(20 * time.Second) // the job avoids machines that refused its starts for 10 s
				if n := cluster.countStarts("wk-1"); n != 2 {
					t.Fatalf("got %d starts of 2 tasks, want 2", n)
				}
			})
		})
	}
}

// Guards against a task that is committed again and again to a machine whose worker has no room for it.
func TestJobAvoidsMachineWhoseWorkerRefusesItsStart(t *testing.T) {
	const refusals = 1000
	runScenario(t, func(cluster *testCluster) {
		cluster.machines = cluster.machines[:1]
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		machine := cluster.machines[0]
		cluster.workers.WithLock(func() { machine.StartsToRefuse = refusals })
		cluster.submit(controller, newSpec("wk-1", job.Array, 1, 1))
		cluster.advance(30 * time.Second)
		if n := refusals - machine.StartsToRefuse; n < 1 || n > 3 {
			t.Errorf("got %d refused starts within 30 s, want at most one in 10 s", n)
		}
		cluster.workers.WithLock(func() { machine.StartsToRefuse = 0 })
		cluster.advance(20 * time.Second)
		if n := cluster.countStarts("wk-1"); n != 1 {
			t.Errorf("got %d starts once the worker has room, want 1", n)
		}
	})
}

// Invariant ran_twice: after a takeover, an earlier attempt is gone while the later one runs and its stop is lost.
func TestRunningAttemptIsNotRestartedForAnEarlierOne(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		first := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(first, newSpec("wk-1", job.Array, 1, 2))
		cluster.advance(3 * time.Second)
		earlier, later := cluster.machines[0], cluster.machines[1]
		if !cluster.wasStartedOn(0, "wk-1/0") {
			earlier, later = later, earlier
		}
		delayedHeartbeat := cluster.workers.NextHeartbeat(earlier)
		cluster.workers.EndTask(earlier, "wk-1/0", worker.CauseFailed) // the job avoids this machine from now on
		cluster.advance(6 * time.Second)
		if n := cluster.countStarts("wk-1"); n != 2 {
			t.Fatalf("got %d starts before the crash, want 2", n)
		}
		setHold := func(hold bool, machine *emulator.Worker) {
			cluster.workers.WithLock(func() { machine.HoldCommands = hold })
		}
		setHold(true, earlier)
		setHold(true, later)
		cluster.dropsStops = true
		cluster.crash(first, 1)
		second := cluster.start("host-1")
		time.Sleep(3 * time.Second) // host-1 has taken over
		second.agent.Heartbeat(cluster.ctx, &delayedHeartbeat)
		time.Sleep(500 * time.Millisecond)
		setHold(false, later)
		time.Sleep(time.Second)
		setHold(false, earlier)
		checker := newInvariantChecker(cluster)
		for range 10 {
			cluster.advance(time.Second)
			checker.checkRunsOnce()
		}
		if n := cluster.countStarts("wk-1"); n != 2 {
			t.Fatalf("got %d starts, want the 2 from before the crash", n)
		}
	})
}
