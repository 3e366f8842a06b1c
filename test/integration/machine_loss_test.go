package integration

import (
	"slices"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// Jobs bound to one zone, arrays and gangs, lose machines one after the other, and once all
// that the zone has: each starts anew in its zone, and only what was lost.
func TestJobsOfOneZoneLoseMachines(t *testing.T) {
	for _, role := range append([]string{nobody}, roles...) {
		t.Run("fails: "+role, func(t *testing.T) {
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
						b.t.Fatal("not accepted")
					}
				}
				b.waitUntil("they run", time.Minute, func() bool {
					return b.history.TasksOnMachines(bound.ID) == 3 && b.history.TasksOnMachines(oneZone.ID) == 3 && b.history.TasksOnMachines(gang.ID) == 2
				})
				killed := 0
				for _, s := range jobs {
					b.withMachine(b.history.MachineOfFirstTask(s.ID), func(m *emulator.SimulatedMachine) { m.Kill(); killed++ })
					if s.ID == bound.ID && role != nobody {
						b.stopFor(b.hostsOf(role, oneZone.ID), 400*time.Millisecond)
					}
					time.Sleep(7 * time.Second)
				}
				time.Sleep(20 * time.Second)
				b.forEachMachine(func(m *emulator.SimulatedMachine) {
					if m.Zone() == "b" {
						m.Kill()
						killed++
					}
				})
				if killed < 4 {
					b.t.Errorf("%d machines were lost: this shows little", killed)
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

// An array that must be in one zone loses the machine of two of its tasks while its zone has
// no more capacity and a machine of another zone has, which cannot serve it: one is rented in
// its zone.
func TestOneZoneArrayScalesOutInItsZone(t *testing.T) {
	runScenario(t, 107, func(b *testbed) {
		one := arrayJob(b.nextJobID(), 3)
		one.OneZone = true
		if !b.submit("", one, 10*time.Minute) {
			b.t.Fatal("not accepted")
		}
		b.waitUntil("it runs", time.Minute, func() bool { return b.history.TasksOnMachines(one.ID) == 3 })
		zone, lost := "", ""
		tasks := map[string]int{}
		for index := range one.Tasks {
			tasks[b.history.MachineOfTask(job.TaskID(one.ID, index))]++
		}
		for machine, n := range tasks {
			b.withMachine(machine, func(m *emulator.SimulatedMachine) { zone = m.Zone() })
			if n == 2 {
				lost = machine
			}
		}
		if lost == "" {
			b.t.Fatalf("its tasks are on %v: no machine has two", tasks)
		}
		for b.cloud.HasCapacity(inZone(zone, arrayJob("", 1)), 1) { // until no other machine of its zone has capacity
			filler := inZone(zone, arrayJob(b.nextJobID(), 1))
			b.submit("", filler, 10*time.Minute)
			b.waitUntil("the zone's capacity is taken", time.Minute, func() bool { return b.history.TasksOnMachines(filler.ID) == 1 })
		}
		other := zones[(slices.Index(zones, zone)+1)%len(zones)]
		elsewhere := inZone(other, arrayJob(b.nextJobID(), 1))
		elsewhere.CPUs, elsewhere.GPUs = 5, 0 // its machine has capacity for two of the others all the time
		b.submit("", elsewhere, 10*time.Minute)
		b.waitUntil("a machine of another zone has capacity", time.Minute, func() bool {
			return b.history.TasksOnMachines(elsewhere.ID) == 1 && b.cloud.HasCapacity(inZone(other, arrayJob("", 2)), 2)
		})
		b.withMachine(lost, func(m *emulator.SimulatedMachine) { m.Kill() })
		b.waitUntil("it has lost two tasks", 90*time.Second, func() bool { return b.history.TasksOnMachines(one.ID) == 1 })
		b.waitUntil("it runs whole again", 90*time.Second, func() bool { return b.history.TasksOnMachines(one.ID) == 3 })
		b.checkNoViolations()
	})
}
