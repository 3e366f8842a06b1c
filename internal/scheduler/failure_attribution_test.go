package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// A job that fails on every machine is tried more and more rarely.
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
			t.Fatalf("%d tries in a minute", got)
		}
	})
}

// Jobs submitted with a mistake fail on every machine: two of them had every
// machine they touched marked as faulty for good. They must cost the machines
// nothing, be tried one task at a time, and leave the capacity to others; a machine
// on which only jobs fail that run well elsewhere is found all the same.
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
			t.Fatalf("%d tasks of jobs that fail everywhere are on machines", got)
		}
		cluster.submit(controller, newSpec("wk-3", job.Array, 6, 1))
		cluster.advance(3 * time.Second)
		_, entries := controller.agent.Snapshot()
		for _, e := range entries {
			if e.Faulty {
				t.Fatalf("%s is marked as faulty", e.Machine)
			}
		}
		if got := len(cluster.startCounts()); got < 6 {
			t.Fatalf("only %d different tasks were started", got)
		}
		started := 0
		for k := range 6 {
			started += cluster.startCounts()[fmt.Sprintf("wk-3/%d", k)]
		}
		if started < 4 {
			t.Fatalf("%d tasks of the job that is well were started: broken ones keep its capacity", started)
		}
		faulty := cluster.machines[0]
		var failing []string
		cluster.workers.WithLock(func() {
			for _, x := range faulty.Heartbeat.Tasks {
				failing = append(failing, x.ID)
			}
		})
		for _, id := range failing {
			cluster.workers.EndTask(faulty, id, worker.CauseFailed)
		}
		cluster.advance(2 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(3 * time.Second)
		_, entries = controller.agent.Snapshot()
		for _, e := range entries {
			if e.Faulty != (e.Machine == faulty.Heartbeat.Machine) {
				t.Fatalf("%s: faulty is %v", e.Machine, e.Faulty)
			}
		}
	})
}
