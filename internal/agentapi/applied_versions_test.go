package agentapi

import "testing"

// Guards against applying an entry that reaches a component after a later one of the same machine.
func TestOlderEntriesAreNotAdmitted(t *testing.T) {
	applied := AppliedVersions{}
	for _, c := range []struct {
		rev, ver uint64
		admitted bool
	}{{5, 3, true}, {5, 3, true}, {5, 2, false}, {4, 9, false}, {5, 4, true}, {6, 1, true}, {5, 9, false}} {
		if got := applied.Admit(&MachineEntry{Machine: "m1", Rev: c.rev, Ver: c.ver}); got != c.admitted {
			t.Errorf("revision %d, version %d: got admitted %t, want %t", c.rev, c.ver, got, c.admitted)
		}
	}
	if !applied.Admit(&MachineEntry{Machine: "m2", Rev: 1, Ver: 1}) {
		t.Error("an entry of another machine is not admitted")
	}
}
