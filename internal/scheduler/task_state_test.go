package scheduler

import (
	"testing"

	"robinstack/internal/agentapi"
)

// A stopping task remains stopping until it is gone, whatever machine entries show.
func TestStoppingTaskRemainsStoppingUntilGone(t *testing.T) {
	var task taskState
	task.beginAttempt(7, "a")
	if task.onMachine() || !task.isCommitting(7) || task.isCommitting(6) {
		t.Fatalf("after beginAttempt: got %+v, want attempt 7 committing", task)
	}
	task.markPlaced("m1", "a", 3, 4)
	if !task.isPlacedAttempt(7) || task.isPlacedAttempt(6) {
		t.Fatalf("after markPlaced: got %+v, want attempt 7 placed", task)
	}
	task.transition(taskStopping)
	task.markPlaced("m1", "a", 3, 5)
	if task.status != taskStopping || !task.isPlacedAttempt(7) {
		t.Errorf("after an entry showed it: got %+v, want attempt 7 stopping", task)
	}
	task.transition(taskPending)
	if task != (taskState{}) {
		t.Errorf("after it was gone: got %+v, want the zero value", task)
	}
}

// Only certain machine entries prove that a task is no longer on its machine. If others were
// accepted, the task would be started again while it still runs.
func TestProvenGone(t *testing.T) {
	committed := taskState{ownerRev: 5, entryVersion: 10}
	unanswered := taskState{ownerRev: 5, entryVersion: unresolved}
	for name, c := range map[string]struct {
		task  taskState
		entry agentapi.MachineEntry
		want  bool
	}{
		"entry of the commit version":      {committed, agentapi.MachineEntry{Rev: 5, Ver: 10, Settled: true}, true},
		"entry from before the commit":     {committed, agentapi.MachineEntry{Rev: 5, Ver: 9, Settled: true}, false},
		"entry that is not reconciled":     {committed, agentapi.MachineEntry{Rev: 5, Ver: 11}, false},
		"earlier owner":                    {committed, agentapi.MachineEntry{Rev: 4, Ver: 99, Settled: true}, false},
		"later owner":                      {committed, agentapi.MachineEntry{Rev: 6, Settled: true}, true},
		"later owner, not reconciled":      {committed, agentapi.MachineEntry{Rev: 6}, false},
		"machine deregistered":             {committed, agentapi.MachineEntry{Rev: 5, Gone: true}, true},
		"deregistered by an earlier owner": {committed, agentapi.MachineEntry{Rev: 4, Gone: true}, false},
		"unanswered commit, same owner":    {unanswered, agentapi.MachineEntry{Rev: 5, Ver: 99, Settled: true}, false},
		"unanswered commit, later owner":   {unanswered, agentapi.MachineEntry{Rev: 6, Settled: true}, true},
	} {
		if got := c.task.provenGone(&c.entry) != ""; got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}
