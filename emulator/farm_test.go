package emulator

import (
	"testing"

	"robinstack/internal/job"
)

// The farm's history finds a task that starts on one machine while it is on another,
// and not one that starts again after it has gone.
func TestFarmSeesTasksThatRunTwice(t *testing.T) {
	f := NewLocalCloud(t.Context(), LocalCloudConfig{})
	at := func(machine string, attempt uint64) *run {
		return &run{box: &LocalMachine{farm: f, name: machine}, id: "wk-1/0", attempt: attempt, spec: &job.Spec{Tasks: 1}}
	}
	first, again, twice := at("m1", 1), at("m2", 2), at("m3", 3)
	f.began(first)
	f.ended(first, false)
	f.began(again)
	if broken := f.Violations(); len(broken) != 0 {
		t.Fatal(broken)
	}
	f.began(twice)
	f.ended(again, false) // the end of the one says nothing of the other
	f.began(at("m4", 4))
	if broken := f.Violations(); len(broken) != 2 {
		t.Error(broken)
	}
}
