package scheduler_test

import (
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// A gang starts as a whole or not at all. When a member is lost, the others are stopped before the
// gang starts again.
func TestGangIsAllOrNothing(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 1, 1))
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-2", job.Gang, 2, 2))
		cluster.advance(5 * time.Second)
		if starts := cluster.startCounts(); starts["wk-2/0"]+starts["wk-2/1"] != 0 {
			t.Fatalf("got starts %v, want none of the gang", starts)
		}
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(5 * time.Second)
		if starts := cluster.startCounts(); starts["wk-2/0"] != 1 || starts["wk-2/1"] != 1 {
			t.Fatalf("got starts %v, want one of each gang member", starts)
		}
		cluster.workers.EndTask(cluster.machines[0], "wk-2/0", worker.CauseFailed)
		cluster.workers.EndTask(cluster.machines[0], "wk-2/1", worker.CauseFailed)
		cluster.advance(2 * time.Second)
		if got := cluster.countTasks(); got > 1 {
			t.Fatalf("got %d tasks on machines after a member was lost, want at most 1", got)
		}
	})
}

// A one-zone gang preempts tasks even if every zone has some capacity but none has enough. It used
// to wait for as long as that situation lasted.
func TestOneZoneGangPreempts(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		cluster.machines = append(cluster.machines, cluster.workers.Add("m3", "box", "a"))
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		small := newSpec("wk-1", job.Array, 2, 1)
		zone := "a"
		small.Zone = &zone
		cluster.submit(controller, small)
		cluster.advance(4 * time.Second)
		gang := newSpec("wk-2", job.Gang, 2, 2)
		gang.OneZone, gang.Rank = true, "high"
		cluster.submit(controller, gang)
		cluster.advance(15 * time.Second)
		if got := cluster.startCounts(); got["wk-2/0"] != 1 || got["wk-2/1"] != 1 {
			t.Fatalf("got starts %v, want one of each gang member", got)
		}
	})
}

// All members of a gang are forgotten by their machines, including members that are reported as
// ended while the gang's completion is being written. Such members used to be kept, and since a
// machine with an ended task does not count as idle, half of the machines of a cluster that had run
// gangs were never scaled in.
func TestGangMembersThatEndAtDifferentTimesAreForgotten(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Gang, 2, 2))
		cluster.advance(4 * time.Second)
		cluster.state.SetTxnLatency(1500 * time.Millisecond)
		for i, machine := range cluster.machines {
			for task := range 2 {
				cluster.workers.EndTask(machine, job.TaskID("wk-1", task), worker.CauseDone)
			}
			if i == 0 {
				cluster.advance(time.Second)
			}
		}
		cluster.advance(8 * time.Second)
		if cluster.finalStatus("wk-1") != job.Done || cluster.countTasks() != 0 {
			t.Fatalf("got final status %q with %d ended tasks on machines, want %q with 0",
				cluster.finalStatus("wk-1"), cluster.countTasks(), job.Done)
		}
	})
}
