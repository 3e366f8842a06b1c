package clusteragent

import (
	"container/list"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// What a watcher gets goes by the machines that changed and not by those there are;
// it must still get each that changed, in the order of the changes, and none that was
// given up: one left out would be counted on for ever.
func TestChangeLogReturnsChangedMachinesInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &Agent{machines: map[string]*machine{}, changed: make(chan struct{}), changeOrder: list.List{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprint("m", rapid.IntRange(0, 6).Draw(t, "machine"))
			switch m := a.machines[name]; {
			case m == nil:
				a.machines[name] = &machine{name: name}
				a.markChanged(a.machines[name])
			case rapid.IntRange(0, 3).Draw(t, "step") == 0:
				delete(a.machines, name)
			default:
				a.markChanged(m)
			}
			since := rapid.Uint64Range(0, a.version).Draw(t, "since")
			var want []string
			for v := since + 1; v <= a.version; v++ {
				for _, m := range a.machines {
					if m.version == v {
						want = append(want, m.name)
					}
				}
			}
			var got []string
			for _, m := range a.changedSince(since) {
				got = append(got, m.name)
			}
			if !slices.Equal(got, want) {
				t.Fatalf("changed since %d of %d: %v, got %v", since, a.version, want, got)
			}
		}
	})
}
