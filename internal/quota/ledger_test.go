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

// A task counts exactly once, from its grant until its machine's entry shows that it has exited.
func TestTaskIsCountedOnceFromGrantToExit(t *testing.T) {
	l := NewLedger()
	l.Grant(grantRequest("wk-1", "t", gpus(2)), "s", 1)
	l.Grant(grantRequest("wk-1", "t", gpus(2)), "s", 2) // a repeated request
	checkUsage(t, l, "t", gpus(2))
	task := agentapi.TaskEntry{TaskRef: taskRef("wk-1"), Team: "t", Need: gpus(2), Known: true, State: worker.TaskRunning}
	l.Apply(&agentapi.MachineEntry{Machine: "m1", Settled: true, Tasks: []agentapi.TaskEntry{task}})
	checkUsage(t, l, "t", gpus(2))
	l.Release(taskRef("wk-1")) // no effect: the grant has been used
	checkUsage(t, l, "t", gpus(2))
	task.State = worker.TaskExited
	l.Apply(&agentapi.MachineEntry{Machine: "m1", Settled: true, Tasks: []agentapi.TaskEntry{task}})
	checkUsage(t, l, "t", gpus(0))
}

// While the machine's owner has not read the job record, a task counts with its grant. Without a
// grant, it counts for an unknown team.
func TestTaskWithUnreadJobRecord(t *testing.T) {
	l := NewLedger()
	l.Grant(grantRequest("wk-1", "t", gpus(2)), "s", 1)
	unread := func(id string) agentapi.TaskEntry {
		return agentapi.TaskEntry{TaskRef: taskRef(id), State: worker.TaskRunning}
	}
	l.Apply(&agentapi.MachineEntry{Machine: "m1", Settled: true, Tasks: []agentapi.TaskEntry{unread("wk-1")}})
	checkUsage(t, l, "t", gpus(2))
	if !l.FullyAttributed() || !l.Attributed("m1") {
		t.Error("the team of the task on m1 is not known from its grant")
	}
	l.Apply(&agentapi.MachineEntry{Machine: "m2", Settled: true, Tasks: []agentapi.TaskEntry{unread("wk-2")}})
	if l.FullyAttributed() || l.Attributed("m2") || !l.Attributed("m1") {
		t.Error("want the team of the task on m2 unknown and that on m1 known")
	}
	l.RetainMachines(map[string]bool{"m1": true})
	if !l.FullyAttributed() || l.MachineCount() != 1 {
		t.Error("m2 still counts after it was removed")
	}
	checkUsage(t, l, "t", gpus(2))
}

// Guards against exceeding a quota after a change of a machine's owner: the tasks of the machine
// count until the new owner's entry is reconciled.
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
		t.Errorf("got %d machines after the only one was removed, want 0", l.MachineCount())
	}
}

// A reconciled job shard drops the unused grants of its earlier owners, and a new leader drops all
// grants. Tasks on machines still count.
func TestObsoleteGrantsAreDropped(t *testing.T) {
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
