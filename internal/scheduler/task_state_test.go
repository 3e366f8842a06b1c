package scheduler

import (
	"testing"

	"robinstack/internal/agentapi"
)

// A task that is being stopped stays so whatever entries show, until it is gone.
func TestStoppingTaskStaysSoUntilGone(t *testing.T) {
	var task taskState
	task.beginAttempt(7, "a")
	if task.onMachine() || !task.isCommitting(7) || task.isCommitting(6) {
		t.Fatalf("after its attempt began: %+v", task)
	}
	task.place("m1", "a", 3, 4)
	if !task.isPlacedAttempt(7) || task.isPlacedAttempt(6) {
		t.Fatalf("after it was placed: %+v", task)
	}
	task.transition(taskStopping)
	task.place("m1", "a", 3, 5)
	if task.status != taskStopping || !task.isPlacedAttempt(7) {
		t.Errorf("an entry has ended its stop: %+v", task)
	}
	task.transition(taskPending)
	if task != (taskState{}) {
		t.Errorf("gone, and not as before: %+v", task)
	}
}

// What proves that a task is not on its machine any more: guards against ran_twice.
func TestEntriesThatProveATaskGone(t *testing.T) {
	committed := taskState{ownerRev: 5, entryVersion: 10}
	unanswered := taskState{ownerRev: 5, entryVersion: unresolved}
	for name, c := range map[string]struct {
		task  taskState
		entry agentapi.MachineEntry
		want  bool
	}{
		"an entry since the commit":               {committed, agentapi.MachineEntry{Rev: 5, Ver: 10, Settled: true}, true},
		"an entry from before the commit":         {committed, agentapi.MachineEntry{Rev: 5, Ver: 9, Settled: true}, false},
		"one that is not confirmed":               {committed, agentapi.MachineEntry{Rev: 5, Ver: 11}, false},
		"one of an earlier owner":                 {committed, agentapi.MachineEntry{Rev: 4, Ver: 99, Settled: true}, false},
		"one of a later owner":                    {committed, agentapi.MachineEntry{Rev: 6, Settled: true}, true},
		"one of a later owner, not confirmed":     {committed, agentapi.MachineEntry{Rev: 6}, false},
		"one that says that the machine is gone":  {committed, agentapi.MachineEntry{Rev: 5, Gone: true}, true},
		"that of an earlier owner":                {committed, agentapi.MachineEntry{Rev: 4, Gone: true}, false},
		"any of the owner, without an answer":     {unanswered, agentapi.MachineEntry{Rev: 5, Ver: 99, Settled: true}, false},
		"one of a later owner, without an answer": {unanswered, agentapi.MachineEntry{Rev: 6, Settled: true}, true},
	} {
		if got := c.task.provenGone(&c.entry); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
