package integration

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// The heartbeats of machines are lost while commands still reach them. Their worker leases expire
// nevertheless. An executed command must not count as a renewal of the lease, tasks are given up
// only on proof, and no new task may be placed on a machine where it would be killed again.
func TestMachinesWithLostHeartbeats(t *testing.T) {
	for _, role := range append([]string{noRole}, roles...) {
		t.Run("crash: "+role, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 81, func(b *testbed) {
				long := inZone("a", arrayJob(b.nextJobID(), 2))
				if !b.submit("host-0", long, 50*time.Second) {
					b.t.Fatal("the job was not accepted")
				}
				b.waitUntil("the tasks are running", time.Minute, func() bool {
					return b.history.TasksOnMachines(long.ID) == 2
				})
				time.Sleep(5 * time.Second)
				var machines []*emulator.SimulatedMachine
				b.forEachMachine(func(m *emulator.SimulatedMachine) {
					m.HeartbeatsLost = true
					machines = append(machines, m)
				})
				epoch, executed := machines[0].WorkerEpoch(), machines[0].CommandsExecuted
				if role != noRole {
					b.crashFor(b.hostsOf(role, long.ID), 400*time.Millisecond)
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
							b.t.Errorf("task %s/%d has not completed while heartbeats are lost", s.ID, k)
						}
					}
				}
				// The eight tasks start once each. The two tasks of the long job may start again,
				// once or twice each.
				if n := b.history.TaskStarts() - starts; n > 12 {
					b.t.Errorf("%d starts for eight tasks, want at most 12: tasks start where they are killed",
						n)
				}
				b.forEachMachine(func(m *emulator.SimulatedMachine) {
					if m == machines[0] && (m.WorkerEpoch() == epoch || m.CommandsExecuted == executed) {
						b.t.Errorf("scenario not exercised: worker epoch %d, %d executed commands, want both to grow",
							m.WorkerEpoch(), m.CommandsExecuted)
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

// Machines hang from the moment their jobs are cancelled: for less than a worker lease, for longer,
// or for good. The tasks must stop in time, by the expiry of the lease, by the kill command that
// the machine executes when it resumes, or by the deletion of the machine, also if a controller
// crashes or the state service rejects the owner.
func TestCancelledTasksOnHungMachines(t *testing.T) {
	for _, hang := range []time.Duration{10 * time.Second, 28 * time.Second, 40 * time.Second, 10 * time.Minute} {
		for name, inject := range map[string]func(b *testbed, id string) func(){
			"no further fault": func(*testbed, string) func() { return func() {} },
			"the owner restarts": func(b *testbed, id string) func() {
				return b.crashFor(b.hostsOf(ownerRole, id), 300*time.Millisecond)
			},
			"the owner is down": func(b *testbed, id string) func() {
				return b.crashFor(b.hostsOf(ownerRole, id), forever)
			},
			"the scheduler is down": func(b *testbed, id string) func() {
				return b.crashFor(b.hostsOf(schedulerRole, id), forever)
			},
			"all controllers restart": func(b *testbed, id string) func() { return b.crashFor(b.hosts, time.Second) },
			"the state service rejects the owner": func(b *testbed, id string) func() {
				h := b.hostsOf(ownerRole, id)[0]
				b.stateClient(h).SetRejectAll(true)
				return func() { b.stateClient(h).SetRejectAll(false) }
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
							b.t.Fatal("the cancellation was not acknowledged")
						}
					}
					if b.history.TasksOnMachines(array.ID)+b.history.TasksOnMachines(gang.ID) == 0 {
						b.t.Fatal("scenario not exercised: no task was on a machine at the acknowledgement")
					}
					time.Sleep(hang)
					b.forEachMachine(func(m *emulator.SimulatedMachine) { m.Hung = false })
					restart()
					time.Sleep(workers.CancellationDeadline + 10*time.Second)
					b.t.Logf("tasks stopped %v after the acknowledgement", b.history.TimesToStopAfterCancel())
					b.checkNoViolations()
				})
			})
		}
	}
}
