package scheduler_test

import (
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// A gang starts as a whole or not at all, and a lost member stops the others
// before the gang starts anew.
func TestGangIsAllOrNothing(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Array, 1, 1))
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-2", job.Gang, 2, 2))
		cluster.advance(5 * time.Second)
		if s := cluster.startCounts(); s["wk-2/0"]+s["wk-2/1"] != 0 {
			t.Fatalf("part of the gang started: %v", s)
		}
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(5 * time.Second)
		if s := cluster.startCounts(); s["wk-2/0"] != 1 || s["wk-2/1"] != 1 {
			t.Fatalf("the gang did not start: %v", s)
		}
		cluster.workers.EndTask(cluster.machines[0], "wk-2/0", worker.CauseFailed)
		cluster.workers.EndTask(cluster.machines[0], "wk-2/1", worker.CauseFailed)
		cluster.advance(2 * time.Second)
		if got := cluster.countTasks(); got > 1 {
			t.Fatalf("%d tasks of a broken gang left", got)
		}
	})
}

// A gang that must be in one zone preempts there also when every zone has some capacity but
// none enough: it waited for as long as that lasted.
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
			t.Fatalf("the gang was not started: %v", got)
		}
	})
}

// Half of the machines of a fleet that had run gangs were never scaled in: members
// that were reported while the gang's end was being written were forgotten by nobody,
// and with an ended task a machine does not count as idle.
func TestGangMembersEndingApartAreAllForgotten(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		controller := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(controller, newSpec("wk-1", job.Gang, 2, 2))
		cluster.advance(4 * time.Second)
		cluster.state.SetTxnLatency(1500 * time.Millisecond)
		for i, machine := range cluster.machines {
			for k := range 2 {
				cluster.workers.EndTask(machine, job.TaskID("wk-1", k), worker.CauseDone)
			}
			if i == 0 {
				cluster.advance(time.Second)
			}
		}
		cluster.advance(8 * time.Second)
		if cluster.finalStatus("wk-1") != job.Done || cluster.countTasks() != 0 {
			t.Fatalf("%q, with %d ended tasks on machines", cluster.finalStatus("wk-1"), cluster.countTasks())
		}
	})
}
