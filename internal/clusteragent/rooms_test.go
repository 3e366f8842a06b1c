package clusteragent

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// Whatever comes to machines, goes from them or is given up, a draw sees exactly
// those that have the GPUs free: one that it misses is never filled, and one that it
// sees in vain is looked at for each job that waits.
func TestCapacityIndexDrawsEveryMachineWithFreeGPUs(t *testing.T) {
	types := map[string]cloud.MachineType{"box": {Name: "box", GPUs: 8, CPUs: 64, MemoryGB: 512}}
	rapid.Check(t, func(t *rapid.T) {
		a := &Agent{machines: map[string]*machine{}, capacityIndex: newCapacityIndex(), types: func() map[string]cloud.MachineType { return types }}
		for i := range 4 {
			m := &machine{name: fmt.Sprint("m", i), typeName: "box", tasks: map[attemptKey]*task{}, capacityIndex: a.capacityIndex}
			a.machines[m.name] = m
			m.usageChanged()
		}
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			m := a.machines[fmt.Sprint("m", rapid.IntRange(0, 3).Draw(t, "machine"))]
			if m == nil {
				continue
			}
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				delete(a.machines, m.name)
				a.capacityIndex.remove(m)
			case 1:
				m.addTask(attemptKey{"unknown", uint64(n)}, &task{state: "running"})
			case 2, 3, 4:
				for k := range m.tasks {
					m.removeTask(k)
					break
				}
			default:
				need := job.Need{GPUs: float64(rapid.IntRange(0, 4).Draw(t, "gpus"))}
				m.addTask(attemptKey{"known", uint64(n)}, &task{state: "running", spec: &job.Spec{Need: need}})
			}
			want := rapid.IntRange(0, 8).Draw(t, "wanted")
			seen := map[string]bool{}
			for _, m := range a.machinesWithCapacity(job.Need{GPUs: float64(want)}) {
				seen[m.name] = true
			}
			for name, m := range a.machines {
				free, known := m.freeCapacity(job.Capacity(types["box"]))
				if has := known && max(0, free.GPUs) >= float64(want); has != seen[name] {
					t.Fatalf("%s with %v GPUs free (known %v): drawn %v for %d", name, free.GPUs, known, seen[name], want)
				}
				delete(seen, name)
			}
			if len(seen) > 0 {
				t.Fatalf("machines that were given up: %v", seen)
			}
		}
	})
}
