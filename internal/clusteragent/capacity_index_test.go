package clusteragent

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/job"
	"robinstack/internal/machine"
)

// After any sequence of added tasks, removed tasks and removed machines, draw returns exactly the
// machines that have the requested GPUs free. A machine that it misses would never be filled; one
// without the capacity would be examined for each waiting job.
func TestCapacityIndexDrawsEveryMachineWithFreeGPUs(t *testing.T) {
	types := map[string]cloud.MachineType{"box": {Name: "box", GPUs: 8, CPUs: 64, MemoryGB: 512}}
	rapid.Check(t, func(t *rapid.T) {
		a := &Agent{machines: map[string]*ownedMachine{}, capacity: newCapacityIndex()}
		for i := range 4 {
			id := machine.Identity{Name: fmt.Sprint("m", i), Type: "box"}
			a.machines[id.Name] = newOwnedMachine(machine.New(id, 0, 0, time.Time{}), a.capacity)
		}
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			m := a.machines[fmt.Sprint("m", rapid.IntRange(0, 3).Draw(t, "machine"))]
			if m == nil {
				continue
			}
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				a.removeMachine(m)
			case 1:
				key := machine.AttemptKey{TaskID: "unknown", Attempt: uint64(n)}
				m.AddTask(key, machine.NewReserved(key, agentapi.TaskRef{}, "", nil, time.Time{}))
			case 2, 3, 4:
				for k := range m.Tasks() {
					m.WithdrawReserved(k, time.Now())
					break
				}
			default:
				need := job.Resources{GPUs: float64(rapid.IntRange(0, 4).Draw(t, "gpus"))}
				key := machine.AttemptKey{TaskID: "known", Attempt: uint64(n)}
				spec := &job.Spec{Need: need}
				m.AddTask(key, machine.NewReserved(key, agentapi.TaskRef{}, "", spec, time.Time{}))
			}
			neededGPUs := rapid.IntRange(0, 8).Draw(t, "wanted")
			drawn := map[string]bool{}
			for _, m := range a.capacity.draw(job.Resources{GPUs: float64(neededGPUs)}, types, a.owns) {
				drawn[m.Name] = true
			}
			for name, m := range a.machines {
				free, known := m.FreeCapacity(job.Capacity(types["box"]))
				if has := known && max(0, free.GPUs) >= float64(neededGPUs); has != drawn[name] {
					t.Fatalf("%s with %v GPUs free (known: %v): drawn: %v for a need of %d GPUs", name, free.GPUs, known, drawn[name], neededGPUs)
				}
				delete(drawn, name)
			}
			if len(drawn) > 0 {
				t.Fatalf("machines drawn that are no longer owned: %v", drawn)
			}
		}
	})
}
