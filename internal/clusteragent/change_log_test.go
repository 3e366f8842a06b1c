package clusteragent

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robinstack/internal/machine"
)

// A watch is answered from the change log instead of from all machines. It must still return each
// changed machine, in the order of the changes, and no machine that is no longer owned: watchers
// would rely on the outdated entry of an omitted machine for ever.
func TestChangeLogReturnsChangedMachinesInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &Agent{machines: map[string]*ownedMachine{}, changes: newChangeLog(), capacity: newCapacityIndex()}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprint("m", rapid.IntRange(0, 6).Draw(t, "machine"))
			switch m := a.machines[name]; {
			case m == nil:
				id := machine.Identity{Name: name}
				a.machines[name] = newOwnedMachine(machine.New(id, 0, 0, time.Time{}), a.capacity)
				a.changes.markChanged(a.machines[name])
			case rapid.IntRange(0, 3).Draw(t, "step") == 0:
				delete(a.machines, name)
			default:
				a.changes.markChanged(m)
			}
			since := rapid.Uint64Range(0, a.changes.version).Draw(t, "since")
			var want []string
			for v := since + 1; v <= a.changes.version; v++ {
				for _, m := range a.machines {
					if m.change.version == v {
						want = append(want, m.Name)
					}
				}
			}
			var got []string
			for _, m := range a.changes.since(since, a.owns) {
				got = append(got, m.Name)
			}
			if !slices.Equal(got, want) {
				t.Fatalf("changes since version %d of %d: want %v, got %v", since, a.changes.version, want, got)
			}
		}
	})
}
