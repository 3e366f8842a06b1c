package integration

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// A controller crashes while machines with long tasks are unreachable or do not receive the
// responses of its successor. No task may start elsewhere before it is proven to have stopped, and
// machines that are reachable again within their lease must not lose tasks.
func TestOwnerFailsWhileMachinesAreUnreachable(t *testing.T) {
	for name, set := range map[string]func(m *emulator.SimulatedMachine, on bool){
		"responses are lost": func(m *emulator.SimulatedMachine, on bool) { m.InboundLost = on },
		"commands are lost":  func(m *emulator.SimulatedMachine, on bool) { m.CommandsLost = on },
		"machines hang":      func(m *emulator.SimulatedMachine, on bool) { m.Hung = on },
	} {
		for _, duration := range []time.Duration{15 * time.Second, 45 * time.Second} {
			for _, immediateRestart := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " for ", duration, ", immediate restart: ", immediateRestart), func(t *testing.T) {
					t.Parallel()
					runScenario(t, 12, func(b *testbed) {
						array, gang := inZone("a", arrayJob(b.nextJobID(), 2)),
							inZone("a", withShape(job.Gang, arrayJob(b.nextJobID(), 2)))
						for _, s := range []job.Spec{array, gang} {
							if !b.submit("host-0", s, 3*time.Minute) {
								b.t.Fatal("the job was not accepted")
							}
						}
						b.waitUntil("the tasks are running", time.Minute, func() bool {
							return b.history.TasksOnMachines(array.ID) == 2 && b.history.TasksOnMachines(gang.ID) == 2
						})
						time.Sleep(10 * time.Second)
						before := b.history.TaskStarts()
						b.forEachMachine(func(m *emulator.SimulatedMachine) { set(m, true) })
						b.crash("host-0")
						if immediateRestart {
							time.Sleep(200 * time.Millisecond)
							b.start("host-0")
						}
						time.Sleep(duration)
						b.forEachMachine(func(m *emulator.SimulatedMachine) { set(m, false) })
						if !immediateRestart {
							b.start("host-0")
						}
						time.Sleep(8 * time.Minute)
						// The autoscaler deletes a few unreconciled machines at once, because this
						// is the fastest proof that no task runs there; their tasks do not count.
						restarts := b.history.TaskStarts() - before - b.cloud.TasksLostToScaleIn()
						if restarts > 0 && (duration < workers.LeaseDuration || name == "commands are lost") {
							b.t.Errorf("%d tasks on machines that were reachable again in time were restarted, want 0",
								restarts)
						}
						b.t.Logf("%d tasks were on machines that the autoscaler deleted", b.cloud.TasksLostToScaleIn())
						b.history.CheckFinalState()
						b.checkNoViolations()
					})
				})
			}
		}
	}
}

// Guards against completions that are lost in a failover. The tasks of a job complete far apart.
// Its scheduler crashes shortly after each completion: either before the completion is recorded, or
// so that the last task completes while the job has no scheduler.
func TestStaggeredCompletionsAcrossSchedulerFailover(t *testing.T) {
	for _, after := range []time.Duration{
		0, 100 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond, 3 * time.Second,
	} {
		for _, downtime := range []time.Duration{200 * time.Millisecond, 20 * time.Second} {
			t.Run(fmt.Sprint(after, " after a completion, downtime ", downtime), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 14, func(b *testbed) {
					s := inZone("b", arrayJob(b.nextJobID(), 3))
					if !b.submitStaggered("host-0", s, 15*time.Second, 25*time.Second) {
						b.t.Fatal("the job was not accepted")
					}
					b.waitUntil("the tasks are running", time.Minute, func() bool {
						return b.history.TasksOnMachines(s.ID) == 3
					})
					for left := 2; left >= 0; left-- {
						b.waitUntil("the next task has ended", time.Minute, func() bool {
							return b.history.TasksOnMachines(s.ID) == left
						})
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
						b.t.Errorf("starts of three tasks: got %d, want 3", n)
					}
					b.history.CheckFinalState()
					b.checkNoViolations()
				})
			})
		}
	}
}

// All controllers crash, one restarts within a second and the others later. This is repeated four
// times, while some transactions are applied late.
func TestAllControllersRestartRepeatedly(t *testing.T) {
	for _, delayedShare := range []float64{0, 0.4} {
		for _, firstRestart := range []time.Duration{100 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprint("delayed share ", delayedShare, ", one back after ", firstRestart), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 15, func(b *testbed) {
					for k := range 6 {
						go b.submitStaggered("", arrayJob(b.nextJobID(), 1+k%3), 10*time.Second, 30*time.Second)
					}
					time.Sleep(15 * time.Second)
					for round := range 4 {
						for _, h := range b.hosts {
							b.stateClient(h).SetLatencyAndTxnDelays(0, delayedShare)
							b.crash(h)
						}
						time.Sleep(firstRestart)
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

// All controllers are down, for about as long as a worker lease or for much longer, and restart
// together or one before the others. Tasks may continue, or end with their lease; all jobs must
// finish.
func TestAllControllersDownLongerThanLease(t *testing.T) {
	for _, downtime := range []time.Duration{25 * time.Second, 33 * time.Second, 90 * time.Second} {
		for _, oneRestartsFirst := range []bool{false, true} {
			t.Run(fmt.Sprint(downtime, ", one restarts first: ", oneRestartsFirst), func(t *testing.T) {
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
							b.t.Fatal("the job was not accepted")
						}
					}
					b.waitUntil("the tasks are running", time.Minute, func() bool {
						return b.history.TasksOnMachines(jobs[0].ID) == 2 && b.history.TasksOnMachines(jobs[3].ID) == 2
					})
					time.Sleep(5 * time.Second)
					if !b.cancelPromptly("host-1", jobs[2].ID) {
						b.t.Fatal("the cancellation was not acknowledged")
					}
					var machines []*emulator.SimulatedMachine
					b.forEachMachine(func(m *emulator.SimulatedMachine) { machines = append(machines, m) })
					restart := b.crashFor(b.hosts, forever)
					time.Sleep(downtime)
					if downtime > workers.LeaseDuration+2*time.Second && machines[0].WorkerEpoch() == 1 {
						b.t.Error("scenario not exercised: no worker lease expired")
					}
					if oneRestartsFirst {
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

// The holder of a role, whoever that is at the time, crashes ten times in two minutes; in some
// cases also during an outage of the state service, when no controller can acquire a role.
func TestTenFailoversInTwoMinutes(t *testing.T) {
	for _, outage := range []bool{false, true} {
		for _, role := range roles {
			t.Run(fmt.Sprint(role, ", during an outage: ", outage), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 103, func(b *testbed) {
					long := inZone("a", arrayJob(b.nextJobID(), 2))
					if !b.submit("host-0", long, 5*time.Minute) {
						b.t.Fatal("the job was not accepted")
					}
					b.waitUntil("the tasks are running", time.Minute, func() bool {
						return b.history.TasksOnMachines(long.ID) == 2
					})
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
							if ids := b.history.AcceptedJobIDs(); len(ids) > 2 {
								go b.cancel("", ids[1+k%(len(ids)-1)])
							}
						}
						sessions := b.sessionRevisionSum()
						hosts := b.hostsOf(role, long.ID)
						if hosts[0] == "" {
							hosts = []string{b.hosts[k%3]}
						}
						b.crashFor(hosts, 400*time.Millisecond)
						time.Sleep(12 * time.Second)
						if b.sessionRevisionSum() != sessions {
							changes++
						}
					}
					if changes < 6 {
						b.t.Errorf("scenario hardly exercised: sessions changed in %d of 10 rounds, want at least 6",
							changes)
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
