package emulator

import (
	"testing"

	"robinstack/internal/job"
)

// The record finds a task that starts on one machine while it is on another, and not one
// that starts again after it has gone.
func TestLocalCloudFindsTasksThatRunTwice(t *testing.T) {
	c := NewLocalCloud(t.Context(), LocalCloudConfig{})
	onMachine := func(machine string, attempt uint64) *localTask {
		return &localTask{
			machine: &LocalMachine{cloud: c, name: machine}, id: "wk-1/0", job: "wk-1", attempt: attempt,
			spec: &job.Spec{Tasks: 1},
		}
	}
	first, again, twice := onMachine("m1", 1), onMachine("m2", 2), onMachine("m3", 3)
	c.record.recordStart(first)
	c.record.recordEnd(first, false)
	c.record.recordStart(again)
	if violations := c.Violations(); len(violations) != 0 {
		t.Fatal(violations)
	}
	c.record.recordStart(twice)
	c.record.recordEnd(again, false) // the end of the one says nothing of the other
	c.record.recordStart(onMachine("m4", 4))
	if violations := c.Violations(); len(violations) != 2 {
		t.Error(violations)
	}
}
