package emulator

import (
	"testing"

	"robinstack/internal/job"
)

// The cloud must report a task that starts on one machine while it is on another, but not a task
// that starts again after it was removed.
func TestLocalCloudDetectsTaskOnTwoMachines(t *testing.T) {
	c := NewLocalCloud(t.Context(), LocalCloudConfig{})
	newAttempt := func(machine string, attempt uint64) *localTask {
		return &localTask{
			machine: &LocalMachine{cloud: c, name: machine}, id: "wk-1/0", job: "wk-1", attempt: attempt,
			spec: &job.Spec{Tasks: 1},
		}
	}
	first, second, third := newAttempt("m1", 1), newAttempt("m2", 2), newAttempt("m3", 3)
	c.history.recordStart(first)
	c.history.recordRemoval(first, false)
	c.history.recordStart(second)
	if violations := c.Violations(); len(violations) != 0 {
		t.Fatalf("violations after a restart: got %q, want none", violations)
	}
	c.history.recordStart(third)
	c.history.recordRemoval(second, false) // must not hide that the third attempt is still on its machine
	c.history.recordStart(newAttempt("m4", 4))
	if violations := c.Violations(); len(violations) != 2 {
		t.Errorf("violations: got %q, want 2", violations)
	}
}
