package integration

import (
	"slices"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// Arrays and gangs that must run in one zone lose machines one after the other, and later all
// machines of the zone. Each job must run again in its zone, and only its lost tasks may be
// restarted.
func TestJobsOfOneZoneLoseMachines(t *testing.T) {
	for _, role := range append([]string{noRole}, roles...) {
		t.Run("crash: "+role, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 105, func(b *testbed) {
				bound := inZone("b", arrayJob(b.nextJobID(), 3))
				oneZone := arrayJob(b.nextJobID(), 3)
				oneZone.OneZone = true
				gang := inZone("b", withShape(job.Gang, arrayJob(b.nextJobID(), 2)))
				gang.OneZone = true
				jobs := []job.Spec{bound, oneZone, gang}
				for _, s := range jobs {
					if !b.submit("", s, time.Minute) {
						b.t.Fatal("the job was not accepted")
					}
				}
				b.waitUntil("the tasks of all jobs are running", time.Minute, func() bool {
					return b.history.TasksOnMachines(bound.ID) == 3 &&
						b.history.TasksOnMachines(oneZone.ID) == 3 &&
						b.history.TasksOnMachines(gang.ID) == 2
				})
				killed := 0
				for _, s := range jobs {
					b.withMachine(b.history.MachineOfFirstTask(s.ID), func(m *emulator.SimulatedMachine) { m.Fail(); killed++ })
					if s.ID == bound.ID && role != noRole {
						b.crashFor(b.hostsOf(role, oneZone.ID), 400*time.Millisecond)
					}
					time.Sleep(7 * time.Second)
				}
				time.Sleep(20 * time.Second)
				b.forEachMachine(func(m *emulator.SimulatedMachine) {
					if m.Zone() == "b" {
						m.Fail()
						killed++
					}
				})
				if killed < 4 {
					b.t.Errorf("scenario hardly exercised: %d machines failed, want at least 4", killed)
				}
				time.Sleep(time.Minute)
				b.history.RecordFaultsEnded()
				time.Sleep(8 * time.Minute)
				b.history.CheckFinalState()
				b.checkNoViolations()
			})
		})
	}
}

// An array that must run in a single zone loses the machine of two of its tasks. Its zone has no
// free capacity, and a machine in another zone has, but must not be used. A machine must be
// provisioned in the zone of the array.
func TestOneZoneArrayScalesOutInItsZone(t *testing.T) {
	runScenario(t, 107, func(b *testbed) {
		array := arrayJob(b.nextJobID(), 3)
		array.OneZone = true
		if !b.submit("", array, 10*time.Minute) {
			b.t.Fatal("the job was not accepted")
		}
		b.waitUntil("the tasks of the array are running", time.Minute, func() bool {
			return b.history.TasksOnMachines(array.ID) == 3
		})
		zone, lost := "", ""
		tasks := map[string]int{}
		for index := range array.Tasks {
			tasks[b.history.MachineOfTask(job.TaskID(array.ID, index))]++
		}
		for machine, n := range tasks {
			b.withMachine(machine, func(m *emulator.SimulatedMachine) { zone = m.Zone() })
			if n == 2 {
				lost = machine
			}
		}
		if lost == "" {
			b.t.Fatalf("scenario not exercised: no machine has two tasks of the array; tasks by machine: %v", tasks)
		}
		// Fills the zone until no other machine in it has free capacity.
		for b.cloud.HasCapacity(inZone(zone, arrayJob("", 1)), 1) {
			filler := inZone(zone, arrayJob(b.nextJobID(), 1))
			b.submit("", filler, 10*time.Minute)
			b.waitUntil("the filler task is running", time.Minute, func() bool {
				return b.history.TasksOnMachines(filler.ID) == 1
			})
		}
		other := zones[(slices.Index(zones, zone)+1)%len(zones)]
		elsewhere := inZone(other, arrayJob(b.nextJobID(), 1))
		elsewhere.CPUs, elsewhere.GPUs = 5, 0 // leaves capacity for two tasks of the other jobs on its machine
		b.submit("", elsewhere, 10*time.Minute)
		b.waitUntil("a machine in another zone has capacity for two tasks", time.Minute, func() bool {
			return b.history.TasksOnMachines(elsewhere.ID) == 1 &&
				b.cloud.HasCapacity(inZone(other, arrayJob("", 2)), 2)
		})
		b.withMachine(lost, func(m *emulator.SimulatedMachine) { m.Fail() })
		b.waitUntil("the array has lost two tasks", 90*time.Second, func() bool {
			return b.history.TasksOnMachines(array.ID) == 1
		})
		b.waitUntil("all tasks of the array are running again", 90*time.Second, func() bool {
			return b.history.TasksOnMachines(array.ID) == 3
		})
		b.checkNoViolations()
	})
}
