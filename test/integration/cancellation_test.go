package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// teamJob returns an array job of a team.
func (b *testbed) teamJob(team string, tasks int) job.Spec {
	s := arrayJob(b.nextJobID(), tasks)
	s.Team = team
	return s
}

// startFillerJobs starts a long job on five machines in each zone. With so many machines, those
// that do not answer a new owner do not count as an isolated failure. The autoscaler would delete
// the machines of an isolated failure at once.
func (b *testbed) startFillerJobs() (fillers []job.Spec) {
	b.t.Helper()
	for _, zone := range zones {
		s := inZone(zone, arrayJob(b.nextJobID(), 10))
		if !b.submit("", s, time.Hour) {
			b.t.Fatal("the job was not accepted")
		}
		fillers = append(fillers, s)
	}
	b.waitUntil("the tasks of the filler jobs are running", 2*time.Minute, func() bool {
		return b.tasksOnMachines(fillers) == 30
	})
	return fillers
}

// exhaustQuotas makes both teams with a quota use all of it, and submits further jobs of both. With
// withGangs, the first two running jobs are gangs.
func (b *testbed) exhaustQuotas(withGangs bool) (running []job.Spec) {
	b.t.Helper()
	for _, s := range []job.Spec{
		b.teamJob("full", 2), b.teamJob("small", 2), b.teamJob("full", 2), b.teamJob("full", 2),
		b.teamJob("small", 2),
	} {
		if withGangs && len(running) < 2 {
			s = withShape(job.Gang, s)
		}
		if !b.submit("", s, time.Hour) {
			b.t.Fatal("the job was not accepted")
		}
		running = append(running, s)
	}
	b.waitUntil("the tasks of all jobs are running", 2*time.Minute, func() bool {
		return b.tasksOnMachines(running) == 10
	})
	for _, s := range []job.Spec{
		b.teamJob("full", 2), b.teamJob("small", 1), b.teamJob("full", 3), b.teamJob("small", 2),
	} {
		if !b.submit("", s, 20*time.Second) {
			b.t.Fatal("the job was not accepted")
		}
	}
	time.Sleep(10 * time.Second)
	return running
}

// Guards against quota that is granted twice or not at all. Every team uses its full quota. Jobs
// are cancelled while their machines are partitioned or hang, and the holder of a role crashes. The
// quota of the cancelled jobs must be granted again once their tasks are proven to have stopped,
// and not before.
func TestTeamsAtQuotaWithUnreachableCancelledTasks(t *testing.T) {
	for faultName, set := range map[string]func(m *emulator.SimulatedMachine, on bool){
		"partitioned": func(m *emulator.SimulatedMachine, on bool) { m.HeartbeatsLost, m.CommandsLost = on, on },
		"hung":        func(m *emulator.SimulatedMachine, on bool) { m.Hung = on },
	} {
		// Durations shorter and longer than a worker lease.
		for _, duration := range []time.Duration{28 * time.Second, 45 * time.Second} {
			for k, f := range failovers(roles) {
				t.Run(fmt.Sprint(faultName, " for ", duration, ", ", f), func(t *testing.T) {
					t.Parallel()
					runScenarioWithMachines(t, 61, 5, 40, func(b *testbed) {
						fillers := b.startFillerJobs()
						running := b.exhaustQuotas(k%2 == 1)
						cancelled := running[:2]
						affected := map[string]bool{}
						b.cloud.ForEachMachine(func(name string, _ *emulator.SimulatedMachine) { affected[name] = true })
						for name := range affected {
							b.withMachine(name, func(m *emulator.SimulatedMachine) { set(m, true) })
						}
						sessions := b.sessionRevisionSum()
						restart := b.crashRole(f, running[0].ID)
						for _, s := range cancelled {
							go func() {
								if !b.cancel("", s.ID) {
									b.t.Error("the cancellation was not acknowledged")
								}
							}()
						}
						time.Sleep(duration)
						for name := range affected {
							b.withMachine(name, func(m *emulator.SimulatedMachine) { set(m, false) })
						}
						for _, s := range cancelled {
							if f.downtime < downtimeBeyondLease && b.history.CancelAcknowledgedAt(s.ID).IsZero() {
								b.t.Errorf("the cancellation of %s was not acknowledged during the fault",
									s.ID)
							}
						}
						if b.sessionRevisionSum() == sessions && f.downtime != forever {
							b.t.Error("scenario not exercised: no session changed")
						}
						restart()
						b.history.RecordFaultsEnded()
						time.Sleep(4 * time.Minute)
						stopTimes := b.history.TimesToStopAfterCancel()
						if f.downtime < downtimeBeyondLease && (len(stopTimes) == 0 || stopTimes[len(stopTimes)-1] < 5*time.Second) {
							b.t.Errorf("scenario not exercised: tasks stopped after %v, want one after at least 5s",
								stopTimes)
						}
						// Cancels the remaining jobs, so that all jobs finish.
						for _, s := range append(fillers, running[2:]...) {
							b.cancel("", s.ID)
						}
						time.Sleep(2 * time.Minute)
						b.t.Logf("tasks stopped %v after the acknowledgement, %d tasks started after it",
							b.history.TimesToStopAfterCancel(), b.history.StartsAfterCancel())
						b.history.CheckFinalState()
						b.checkNoViolations()
					})
				})
			}
		}
	}
}

// Guards against a failover that loses or ignores a cancellation. Jobs are cancelled every half
// second of a failover, at all controllers, while the holder of a role crashes and its successor
// takes over, or the holder itself restarts. One cancellation is acknowledged by the old holder
// just before it crashes.
func TestCancellationDuringFailover(t *testing.T) {
	for _, f := range failovers(roles[:3]) {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 62, func(b *testbed) {
				var jobs []job.Spec
				for k := range 11 {
					s := inZone(zones[k%2], arrayJob(b.nextJobID(), 1))
					if k%4 == 3 {
						s = withShape(job.Service, s)
					}
					if !b.submit("host-0", s, time.Hour) {
						b.t.Fatal("the job was not accepted")
					}
					jobs = append(jobs, s)
				}
				b.waitUntil("the tasks of all jobs are running", 3*time.Minute, func() bool {
					return b.tasksOnMachines(jobs) == len(jobs)
				})
				time.Sleep(10 * time.Second)
				failing := b.hostsOf(f.role, jobs[0].ID)
				if len(failing) != 1 || failing[0] == "" {
					b.t.Fatalf("holders of the role %q: got %q, want one host", f.role, failing)
				}
				began := b.keyRevision(statekv.SessionPrefix + failing[0])
				if !b.cancelPromptly(failing[0], jobs[0].ID) {
					b.t.Fatal("the cancellation was not acknowledged by the role's holder before its crash")
				}
				restart := b.crashFor(failing, f.downtime)
				var users sync.WaitGroup
				for k, s := range jobs[1:] { // one every half second
					users.Go(func() {
						time.Sleep(time.Duration(k) * 500 * time.Millisecond)
						b.cancelPromptly(b.hosts[k%3], s.ID)
					})
				}
				users.Wait()
				took := time.Since(b.history.CancelAcknowledgedAt(jobs[0].ID))
				time.Sleep(workers.CancellationDeadline)
				if now := b.keyRevision(statekv.SessionPrefix + failing[0]); now == began {
					b.t.Error("scenario not exercised: the session of the crashed controller did not change")
				}
				acknowledged := 0
				for _, s := range jobs[1:] {
					if at := b.history.CancelAcknowledgedAt(s.ID); !at.IsZero() && at.Sub(b.history.CancelAcknowledgedAt(jobs[0].ID)) < 8*time.Second {
						acknowledged++
					}
				}
				if acknowledged < 5 {
					b.t.Errorf("scenario hardly exercised: %d cancellations acknowledged within 8 s, want at least 5",
						acknowledged)
				}
				restart()
				b.t.Logf("%d acknowledged within 8 s, all within %v; tasks stopped %v after that, %d tasks started",
					acknowledged, took, b.history.TimesToStopAfterCancel(), b.history.StartsAfterCancel())
				b.history.RecordFaultsEnded()
				time.Sleep(2 * time.Minute)
				b.checkNoViolations()
			})
		})
	}
}

// A gang that is cancelled while it saves a checkpoint must be stopped without waiting for the
// checkpoint.
func TestCancellationInterruptsGangCheckpoint(t *testing.T) {
	runScenario(t, 5, func(b *testbed) {
		s := b.startRunningJob("host-0", "b", job.Gang)
		b.forEachMachine(func(m *emulator.SimulatedMachine) { m.StartCheckpoints(time.Minute) })
		if !b.cancel("host-2", s.ID) {
			b.t.Fatal("the cancellation was not acknowledged")
		}
		time.Sleep(5 * time.Second)
		if n := b.history.TasksOnMachines(s.ID); n > 0 {
			b.t.Errorf("%d tasks of the gang are still on machines 5 s after the cancellation, want 0", n)
		}
		b.checkNoViolations()
	})
}

// Guards against an acknowledgement that precedes the owners' knowledge of the cancellation.
// Watches lag, so that no controller, not even the one that acknowledges, has seen the cancellation
// in its mirror. The tasks must nevertheless stop at once, whichever controller acknowledges.
func TestOwnersLearnOfCancellationBeforeUser(t *testing.T) {
	for _, shape := range []string{job.Array, job.Gang, job.Service} {
		for _, host := range []string{"host-0", "host-1", "host-2"} { // the scheduler, the owner, and neither
			t.Run(fmt.Sprint(shape, " ", host), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 71, func(b *testbed) {
					s := b.startRunningJob("host-0", "b", shape)
					b.setWatchLag(3 * time.Second)
					time.Sleep(10 * time.Second)
					if !b.cancelPromptly(host, s.ID) {
						b.t.Fatal("the cancellation was not acknowledged")
					}
					time.Sleep(200 * time.Millisecond)
					if n := b.history.TasksOnMachines(s.ID); n > 0 {
						b.t.Errorf("%d tasks on machines 0.2 s after the acknowledgement, watch lag 3 s; want 0",
							n)
					}
					b.setWatchLag(0)
					time.Sleep(20 * time.Second)
					b.checkNoViolations()
				})
			})
		}
	}
}

// Jobs are cancelled at any controller at about the time at which their images are fetched and
// their tasks start. No task may start after the acknowledgement, although watches lag by half a
// second at every controller.
func TestNoStartAfterAcknowledgedCancellation(t *testing.T) {
	runScenario(t, 72, func(b *testbed) {
		b.startRunningJob("host-0", "a", job.Array)
		time.Sleep(5 * time.Second)
		b.setWatchLag(500 * time.Millisecond)
		fetching := 0
		for k := range 60 {
			s := arrayJob(b.nextJobID(), 2)
			if !b.submit(b.hosts[k%3], s, time.Hour) {
				b.t.Fatal("the job was not accepted")
			}
			time.Sleep(time.Duration(20*(k%30)) * time.Millisecond)
			if !b.cancelPromptly(b.hosts[(k/3)%3], s.ID) {
				b.t.Fatal("the cancellation was not acknowledged")
			}
			if b.history.TasksOnMachines(s.ID) < 2 { // at least one task is still fetching its image
				fetching++
			}
			time.Sleep(3 * time.Second)
		}
		if fetching < 10 {
			b.t.Errorf("scenario hardly exercised: %d jobs cancelled before a task started, want at least 10",
				fetching)
		}
		if n := b.history.StartsAfterCancel(); n > 0 {
			b.t.Errorf("%d tasks started after the acknowledgement, want 0", n)
		}
		b.checkNoViolations()
	})
}
