package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// A job that fails on every machine is retried with increasing backoff.
func TestFailingJobIsRetriedWithBackoff(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 1, 1))
		for range 60 {
			cluster.advance(time.Second)
			cluster.exitAllTasks(worker.CauseFailed)
		}
		if got := cluster.startCounts()["wk-1/0"]; got < 2 || got > 8 {
			t.Fatalf("got %d starts in a minute, want 2 to 8", got)
		}
	})
}

// Jobs submitted with a mistake fail on every machine, and two of them had every machine that they
// used quarantined permanently. They must not get machines quarantined, must be retried one task at
// a time, and must leave the capacity to other jobs. If jobs that run well elsewhere fail on a
// machine, that machine must still be quarantined.
func TestBrokenJobsDoNotQuarantineMachines(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.machines = append(cluster.machines, cluster.workers.Add("m3", "box", "a"))
		cluster.advance(5 * time.Second)
		for _, id := range []string{"wk-1", "wk-2"} {
			cluster.submit(controller, newSpec(id, job.Array, 6, 1))
			cluster.advance(2 * time.Second)
			cluster.exitAllTasks(worker.CauseFailed)
			cluster.advance(2 * time.Second)
			cluster.exitAllTasks(worker.CauseFailed)
		}
		cluster.advance(10 * time.Second)
		if got := cluster.countTasks(); got > 2 {
			t.Fatalf("got %d tasks of failing jobs on machines, want at most 2", got)
		}
		cluster.submit(controller, newSpec("wk-3", job.Array, 6, 1))
		cluster.advance(3 * time.Second)
		_, entries := controller.agent.Snapshot()
		for _, entry := range entries {
			if entry.Faulty {
				t.Fatalf("%s is quarantined", entry.Machine)
			}
		}
		if got := len(cluster.startCounts()); got < 6 {
			t.Fatalf("got %d different started tasks, want at least 6", got)
		}
		started := 0
		for k := range 6 {
			started += cluster.startCounts()[fmt.Sprintf("wk-3/%d", k)]
		}
		if started < 4 {
			t.Fatalf("got %d started tasks of the sound job, want at least 4: failing jobs hold its capacity", started)
		}
		faulty := cluster.machines[0]
		var failing []string
		cluster.workers.WithLock(func() {
			for _, task := range faulty.Heartbeat.Tasks {
				failing = append(failing, task.ID)
			}
		})
		for _, id := range failing {
			cluster.workers.EndTask(faulty, id, worker.CauseFailed)
		}
		cluster.advance(2 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(3 * time.Second)
		_, entries = controller.agent.Snapshot()
		for _, entry := range entries {
			if entry.Faulty != (entry.Machine == faulty.Heartbeat.Machine) {
				t.Fatalf("%s: got quarantined %v", entry.Machine, entry.Faulty)
			}
		}
	})
}
