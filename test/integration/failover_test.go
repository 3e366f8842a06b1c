package integration

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// A controller ends while machines with long tasks are unreachable, or do not get
// what its successor answers. Nothing starts elsewhere before it is proven gone, and
// machines that are back within their lease lose nothing.
func TestOwnerFailsWhileMachinesAreUnreachable(t *testing.T) {
	for name, set := range map[string]func(m *emulator.SimulatedMachine, on bool){
		"get no answers":    func(m *emulator.SimulatedMachine, on bool) { m.InboundLost = on },
		"commands are lost": func(m *emulator.SimulatedMachine, on bool) { m.CommandsLost = on },
		"hang":              func(m *emulator.SimulatedMachine, on bool) { m.Hung = on },
	} {
		for _, duration := range []time.Duration{15 * time.Second, 45 * time.Second} {
			for _, backAtOnce := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " for ", duration, ", the owner is back at once: ", backAtOnce), func(t *testing.T) {
					t.Parallel()
					runScenario(t, 12, func(b *testbed) {
						array, gang := inZone("a", arrayJob(b.nextJobID(), 2)), inZone("a", withShape(job.Gang, arrayJob(b.nextJobID(), 2)))
						for _, s := range []job.Spec{array, gang} {
							if !b.submit("host-0", s, 3*time.Minute) {
								b.t.Fatal("not accepted")
							}
						}
						b.waitUntil("they run", time.Minute, func() bool {
							return b.history.TasksOnMachines(array.ID) == 2 && b.history.TasksOnMachines(gang.ID) == 2
						})
						time.Sleep(10 * time.Second)
						before := b.history.TaskStarts()
						b.forEachMachine(func(m *emulator.SimulatedMachine) { set(m, true) })
						b.crash("host-0")
						if backAtOnce {
							time.Sleep(200 * time.Millisecond)
							b.start("host-0")
						}
						time.Sleep(duration)
						b.forEachMachine(func(m *emulator.SimulatedMachine) { set(m, false) })
						if !backAtOnce {
							b.start("host-0")
						}
						time.Sleep(8 * time.Minute)
						// The leader returns a few machines that leave their new owner
						// unanswered: that proves soonest what runs there.
						restarts := b.history.TaskStarts() - before - b.cloud.TasksLostToScaleIn()
						if restarts > 0 && (duration < workers.LeaseDuration || name == "commands are lost") {
							b.t.Errorf("%d tasks were started again although their machines were back in time", restarts)
						}
						b.t.Logf("%d tasks were on machines that were returned", b.cloud.TasksLostToScaleIn())
						b.history.CheckFinalState()
						b.checkNoViolations()
					})
				})
			}
		}
	}
}

// Tasks of a job complete far apart, and its scheduler fails right after each, before that is
// in the job's record, or when the last completes and nobody schedules it.
func TestStaggeredCompletionsAcrossSchedulerFailover(t *testing.T) {
	for _, after := range []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond, 3 * time.Second} {
		for _, downtime := range []time.Duration{200 * time.Millisecond, 20 * time.Second} {
			t.Run(fmt.Sprint(after, " after a completion, back after ", downtime), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 14, func(b *testbed) {
					s := inZone("b", arrayJob(b.nextJobID(), 3))
					if !b.submitStaggered("host-0", s, 15*time.Second, 25*time.Second) {
						b.t.Fatal("not accepted")
					}
					b.waitUntil("it runs", time.Minute, func() bool { return b.history.TasksOnMachines(s.ID) == 3 })
					for left := 2; left >= 0; left-- {
						b.waitUntil("a task ends", time.Minute, func() bool { return b.history.TasksOnMachines(s.ID) == left })
						time.Sleep(after)
						host := b.schedulerOf(s.ID)
						b.crash(host)
						time.Sleep(downtime)
						b.start(host)
						if downtime > 10*time.Second {
							left = min(left, b.history.TasksOnMachines(s.ID))
						}
					}
					time.Sleep(2 * time.Minute)
					if n := b.history.TaskStarts(); n != 3 {
						b.t.Errorf("three tasks were started %d times", n)
					}
					b.history.CheckFinalState()
					b.checkNoViolations()
				})
			})
		}
	}
}

// All controllers end, and one returns within a second, the others later, again
// and again, while some transactions are carried out late.
func TestAllControllersRestartRepeatedly(t *testing.T) {
	for _, delayedShare := range []float64{0, 0.4} {
		for _, first := range []time.Duration{100 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprint("delayed ", delayedShare, ", one back after ", first), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 15, func(b *testbed) {
					for k := range 6 {
						go b.submitStaggered("", arrayJob(b.nextJobID(), 1+k%3), 10*time.Second, 30*time.Second)
					}
					time.Sleep(15 * time.Second)
					for round := range 4 {
						for _, h := range b.hosts {
							b.stateClient(h).SetFaults(0, delayedShare)
							b.crash(h)
						}
						time.Sleep(first)
						b.start(b.hosts[round%3])
						time.Sleep(time.Duration(round) * 3 * time.Second)
						b.start(b.hosts[(round+1)%3])
						b.start(b.hosts[(round+2)%3])
						go b.submit("", arrayJob(b.nextJobID(), 2), 20*time.Second)
						time.Sleep(10 * time.Second)
					}
					b.setStateFaults(0, 0)
					b.history.RecordFaultsEnded()
					time.Sleep(6 * time.Minute)
					b.history.CheckFinalState()
					b.checkNoViolations()
				})
			})
		}
	}
}

// All controllers are down for longer than a lease, or one is back sooner: what ran is gone
// with its leases or goes on, and everything comes to its end.
func TestAllControllersDownLongerThanLease(t *testing.T) {
	for _, downtime := range []time.Duration{25 * time.Second, 33 * time.Second, 90 * time.Second} {
		for _, oneFirst := range []bool{false, true} {
			t.Run(fmt.Sprint(downtime, ", one is back first: ", oneFirst), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 102, func(b *testbed) {
					var jobs []job.Spec
					for k := range 4 {
						s := arrayJob(b.nextJobID(), 2)
						if k%2 == 1 {
							s = withShape(job.Gang, s)
						}
						jobs = append(jobs, s)
						if !b.submit("", s, 70*time.Second) {
							b.t.Fatal("not accepted")
						}
					}
					b.waitUntil("they run", time.Minute, func() bool {
						return b.history.TasksOnMachines(jobs[0].ID) == 2 && b.history.TasksOnMachines(jobs[3].ID) == 2
					})
					time.Sleep(5 * time.Second)
					if !b.cancelPromptly("host-1", jobs[2].ID) {
						b.t.Fatal("the cancellation is not acknowledged")
					}
					var machines []*emulator.SimulatedMachine
					b.forEachMachine(func(m *emulator.SimulatedMachine) { machines = append(machines, m) })
					restart := b.stopFor(b.hosts, never)
					time.Sleep(downtime)
					if downtime > workers.LeaseDuration+2*time.Second && machines[0].WorkerEpoch() == 1 {
						b.t.Error("no lease expired: this shows nothing")
					}
					if oneFirst {
						b.start("host-2")
						time.Sleep(20 * time.Second)
						b.start("host-0")
						b.start("host-1")
					} else {
						restart()
					}
					b.history.RecordFaultsEnded()
					time.Sleep(6 * time.Minute)
					b.history.CheckFinalState()
					b.checkNoViolations()
				})
			})
		}
	}
}

// A role fails over ten times in two minutes, also inside an outage of the state service, in
// which nobody can acquire any: each time whoever is leader, scheduler or owner.
func TestTenFailoversInTwoMinutes(t *testing.T) {
	for _, outage := range []bool{false, true} {
		for _, role := range roles {
			t.Run(fmt.Sprint(role, ", inside an outage: ", outage), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 103, func(b *testbed) {
					long := inZone("a", arrayJob(b.nextJobID(), 2))
					if !b.submit("host-0", long, 5*time.Minute) {
						b.t.Fatal("not accepted")
					}
					b.waitUntil("it runs", time.Minute, func() bool { return b.history.TasksOnMachines(long.ID) == 2 })
					changes := 0
					for k := range 10 {
						if k == 4 && outage {
							b.state.SetOutage(true, false)
						}
						if k == 7 {
							b.state.SetOutage(false, false)
						}
						go b.submitStaggered("", arrayJob(b.nextJobID(), 1+k%3), 10*time.Second, 5*time.Second)
						if k%3 == 1 {
							if ids := b.history.AcceptedJobs(); len(ids) > 2 {
								go b.cancel("", ids[1+k%(len(ids)-1)])
							}
						}
						sessions := b.sessionRevisions()
						hosts := b.hostsOf(role, long.ID)
						if hosts[0] == "" {
							hosts = []string{b.hosts[k%3]}
						}
						b.stopFor(hosts, 400*time.Millisecond)
						time.Sleep(12 * time.Second)
						if b.sessionRevisions() != sessions {
							changes++
						}
					}
					if changes < 6 {
						b.t.Errorf("%d changes: this shows little", changes)
					}
					b.history.RecordFaultsEnded()
					time.Sleep(8 * time.Minute)
					b.history.CheckFinalState()
					b.checkNoViolations()
				})
			})
		}
	}
}
