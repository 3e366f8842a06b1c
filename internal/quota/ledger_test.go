package quota

import (
	"testing"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

func taskRef(id string) agentapi.TaskRef { return agentapi.TaskRef{Job: id, Attempt: 1} }

func gpus(n float64) job.Resources { return job.Resources{GPUs: n} }

func grantRequest(id, team string, need job.Resources) GrantRequest {
	return GrantRequest{Ref: taskRef(id), Team: team, Need: need}
}

func checkUsage(t *testing.T, l *Ledger, team string, want job.Resources) {
	t.Helper()
	if got := l.Usage()[team]; got != want {
		t.Errorf("team %q uses %+v, want %+v", team, got, want)
	}
}

// A task counts once, from its grant until its machine shows that it has ended.
func TestTaskCountsOnceFromGrantToExit(t *testing.T) {
	l := NewLedger()
	l.Grant(grantRequest("wk-1", "t", gpus(2)), "s", 1)
	l.Grant(grantRequest("wk-1", "t", gpus(2)), "s", 2) // asked for again
	checkUsage(t, l, "t", gpus(2))
	task := agentapi.TaskEntry{TaskRef: taskRef("wk-1"), Team: "t", Need: gpus(2), Known: true, State: worker.TaskRunning}
	l.Apply(&agentapi.MachineEntry{Machine: "m1", Settled: true, Tasks: []agentapi.TaskEntry{task}})
	checkUsage(t, l, "t", gpus(2))
	l.Release(taskRef("wk-1")) // used up: nothing to release
	checkUsage(t, l, "t", gpus(2))
	task.State = worker.TaskExited
	l.Apply(&agentapi.MachineEntry{Machine: "m1", Settled: true, Tasks: []agentapi.TaskEntry{task}})
	checkUsage(t, l, "t", gpus(0))
}

// A task whose job's record its owner has not read counts by its grant, and without one for
// a team that is not known.
func TestTaskOfAnUnreadRecord(t *testing.T) {
	l := NewLedger()
	l.Grant(grantRequest("wk-1", "t", gpus(2)), "s", 1)
	unread := func(id string) agentapi.TaskEntry {
		return agentapi.TaskEntry{TaskRef: taskRef(id), State: worker.TaskRunning}
	}
	l.Apply(&agentapi.MachineEntry{Machine: "m1", Settled: true, Tasks: []agentapi.TaskEntry{unread("wk-1")}})
	checkUsage(t, l, "t", gpus(2))
	if !l.FullyAttributed() || !l.Attributed("m1") {
		t.Error("its team is known by the grant")
	}
	l.Apply(&agentapi.MachineEntry{Machine: "m2", Settled: true, Tasks: []agentapi.TaskEntry{unread("wk-2")}})
	if l.FullyAttributed() || l.Attributed("m2") || !l.Attributed("m1") {
		t.Error("the team of one task on m2 is not known")
	}
	l.RetainMachines(map[string]bool{"m1": true})
	if !l.FullyAttributed() || l.MachineCount() != 1 {
		t.Error("m2 is gone")
	}
	checkUsage(t, l, "t", gpus(2))
}

// What a machine held counts until its new owner has reconciled it.
func TestUnreconciledEntryKeepsTasks(t *testing.T) {
	l := NewLedger()
	task := agentapi.TaskEntry{TaskRef: taskRef("wk-1"), Team: "t", Need: gpus(4), Known: true, State: worker.TaskRunning}
	l.Apply(&agentapi.MachineEntry{Machine: "m1", Settled: true, Tasks: []agentapi.TaskEntry{task}})
	l.Apply(&agentapi.MachineEntry{Machine: "m1"})
	checkUsage(t, l, "t", gpus(4))
	l.Apply(&agentapi.MachineEntry{Machine: "m1", Settled: true})
	checkUsage(t, l, "t", gpus(0))
	l.Apply(&agentapi.MachineEntry{Machine: "m1", Gone: true})
	if l.MachineCount() != 0 {
		t.Errorf("%d machines after the only one is gone", l.MachineCount())
	}
}

// Grants of earlier owners of a job shard lapse, and all of them when a leader begins; what
// is on machines stays.
func TestGrantsLapse(t *testing.T) {
	l := NewLedger()
	l.Grant(grantRequest("wk-1", "t", gpus(1)), "s", 1)
	l.Grant(grantRequest("wk-2", "t", gpus(2)), "s", 2)
	l.Grant(grantRequest("wk-3", "t", gpus(4)), "other", 1)
	l.ReleaseJobShard("s", 2)
	checkUsage(t, l, "t", gpus(6))
	task := agentapi.TaskEntry{TaskRef: taskRef("wk-3"), Team: "t", Need: gpus(4), Known: true, State: worker.TaskRunning}
	l.Apply(&agentapi.MachineEntry{Machine: "m1", Settled: true, Tasks: []agentapi.TaskEntry{task}})
	l.ClearGrants()
	checkUsage(t, l, "t", gpus(4))
}
