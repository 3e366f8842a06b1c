package integration

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// The heartbeats of machines reach nobody, while commands are carried out. Their leases expire
// all the same: nothing is taken for renewed by an answered command, what ran is given up on
// proof, and nothing new is placed where it would be killed again and again.
func TestMachinesWithLostHeartbeats(t *testing.T) {
	for _, role := range append([]string{nobody}, roles...) {
		t.Run("fails: "+role, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 81, func(b *testbed) {
				long := inZone("a", arrayJob(b.nextJobID(), 2))
				if !b.submit("host-0", long, 50*time.Second) {
					b.t.Fatal("not accepted")
				}
				b.waitUntil("it runs", time.Minute, func() bool { return b.history.TasksOnMachines(long.ID) == 2 })
				time.Sleep(5 * time.Second)
				var machines []*emulator.SimulatedMachine
				b.forEachMachine(func(m *emulator.SimulatedMachine) {
					m.HeartbeatsLost = true
					machines = append(machines, m)
				})
				epoch, executed := machines[0].WorkerEpoch(), machines[0].CommandsExecuted
				if role != nobody {
					b.stopFor(b.hostsOf(role, long.ID), 400*time.Millisecond)
				}
				time.Sleep(workers.LeaseDuration*2/3 + 5*time.Second)
				starts := b.history.TaskStarts()
				var more []job.Spec
				for range 4 {
					s := arrayJob(b.nextJobID(), 2)
					more = append(more, s)
					go b.submit("", s, 40*time.Second)
					time.Sleep(2 * time.Second)
				}
				time.Sleep(2 * time.Minute)
				for _, s := range more {
					for k := range s.Tasks {
						if !b.history.TaskCompleted(job.TaskID(s.ID, k)) {
							b.t.Errorf("%s/%d is not done while heartbeats are lost", s.ID, k)
						}
					}
				}
				// Eight tasks, and the two of the long one once or twice more.
				if n := b.history.TaskStarts() - starts; n > 12 {
					b.t.Errorf("%d starts for eight tasks: they are placed where they are killed", n)
				}
				b.forEachMachine(func(m *emulator.SimulatedMachine) {
					if m == machines[0] && (m.WorkerEpoch() == epoch || m.CommandsExecuted == executed) {
						b.t.Errorf("worker epoch %d, %d commands executed: this shows nothing", m.WorkerEpoch(), m.CommandsExecuted)
					}
					m.HeartbeatsLost = false
				})
				b.history.RecordFaultsEnded()
				time.Sleep(4 * time.Minute)
				b.history.CheckFinalState()
				b.checkNoViolations()
			})
		})
	}
}

// Machines hang from the moment at which their jobs are cancelled: for less than a lease, for
// more, for good. What they ran is gone in time, by their lease, by the kill that they find
// when they go on, or by their return; also where the owner ends, or is refused.
func TestCancelledTasksOnHungMachines(t *testing.T) {
	for _, hang := range []time.Duration{10 * time.Second, 28 * time.Second, 40 * time.Second, 10 * time.Minute} {
		for name, inject := range map[string]func(b *testbed, id string) func(){
			"nothing more":       func(*testbed, string) func() { return func() {} },
			"the owner ends":     func(b *testbed, id string) func() { return b.stopFor(b.hostsOf(ownerRole, id), 300*time.Millisecond) },
			"the owner goes":     func(b *testbed, id string) func() { return b.stopFor(b.hostsOf(ownerRole, id), never) },
			"the scheduler goes": func(b *testbed, id string) func() { return b.stopFor(b.hostsOf(schedulerRole, id), never) },
			"all end":            func(b *testbed, id string) func() { return b.stopFor(b.hosts, time.Second) },
			"the owner is refused": func(b *testbed, id string) func() {
				h := b.hostsOf(ownerRole, id)[0]
				b.stateClient(h).SetRefuseAll(true)
				return func() { b.stateClient(h).SetRefuseAll(false) }
			},
		} {
			t.Run(fmt.Sprint("for ", hang, ", ", name), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 82, func(b *testbed) {
					array, gang := b.startRunningJob("host-1", "a", job.Array), b.startRunningJob("host-1", "b", job.Gang)
					acknowledged := make(chan bool, 2)
					for _, s := range []job.Spec{array, gang} {
						go func() { acknowledged <- b.cancel("host-2", s.ID) }()
					}
					b.forEachMachine(func(m *emulator.SimulatedMachine) { m.Hung = true })
					restart := inject(b, array.ID)
					for range cap(acknowledged) {
						if !<-acknowledged {
							b.t.Fatal("the cancellation is not acknowledged")
						}
					}
					if b.history.TasksOnMachines(array.ID)+b.history.TasksOnMachines(gang.ID) == 0 {
						b.t.Fatal("nothing was on machines: this shows nothing")
					}
					time.Sleep(hang)
					b.forEachMachine(func(m *emulator.SimulatedMachine) { m.Hung = false })
					restart()
					time.Sleep(workers.CancellationDeadline + 10*time.Second)
					b.t.Logf("tasks stayed for %v", b.history.TimesToStopAfterCancel())
					b.checkNoViolations()
				})
			})
		}
	}
}
