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

// jobOfTeam is an array of a team.
func (b *testbed) jobOfTeam(team string, tasks int) job.Spec {
	s := arrayJob(b.nextJobID(), tasks)
	s.Team = team
	return s
}

// fillZones has so many machines up in each zone that those which do not answer a new owner
// are waited for, and not returned as few.
func (b *testbed) fillZones() (fillers []job.Spec) {
	b.t.Helper()
	for _, zone := range zones {
		s := inZone(zone, arrayJob(b.nextJobID(), 10))
		if !b.submit("", s, time.Hour) {
			b.t.Fatal("not accepted")
		}
		fillers = append(fillers, s)
	}
	b.waitUntil("machines are up", 2*time.Minute, func() bool { return b.tasksOnMachines(fillers) == 30 })
	return fillers
}

// useQuotas has both teams with a quota use all of it, and submit more. The first two of the
// running jobs may be gangs.
func (b *testbed) useQuotas(withGangs bool) (running []job.Spec) {
	b.t.Helper()
	for _, s := range []job.Spec{
		b.jobOfTeam("full", 2), b.jobOfTeam("small", 2), b.jobOfTeam("full", 2), b.jobOfTeam("full", 2),
		b.jobOfTeam("small", 2),
	} {
		if withGangs && len(running) < 2 {
			s = withShape(job.Gang, s)
		}
		if !b.submit("", s, time.Hour) {
			b.t.Fatal("not accepted")
		}
		running = append(running, s)
	}
	b.waitUntil("all run", 2*time.Minute, func() bool { return b.tasksOnMachines(running) == 10 })
	for _, s := range []job.Spec{
		b.jobOfTeam("full", 2), b.jobOfTeam("small", 1), b.jobOfTeam("full", 3), b.jobOfTeam("small", 2),
	} {
		if !b.submit("", s, 20*time.Second) {
			b.t.Fatal("not accepted")
		}
	}
	time.Sleep(10 * time.Second)
	return running
}

// Every team is at its quota. Jobs are cancelled whose machines are partitioned or hang, and a
// role fails: the quota that they held is granted when they are proven gone, by nobody
// sooner, and it is granted then.
func TestTeamsAtQuotaWithUnreachableCancelledTasks(t *testing.T) {
	for faultName, set := range map[string]func(m *emulator.SimulatedMachine, on bool){
		"partitioned": func(m *emulator.SimulatedMachine, on bool) { m.HeartbeatsLost, m.CommandsLost = on, on },
		"hung":        func(m *emulator.SimulatedMachine, on bool) { m.Hung = on },
	} {
		for _, duration := range []time.Duration{28 * time.Second, 45 * time.Second} { // within a lease, and beyond it
			for k, f := range failovers(roles) {
				t.Run(fmt.Sprint(faultName, " for ", duration, ", ", f), func(t *testing.T) {
					t.Parallel()
					runScenarioWithMachines(t, 61, 5, 40, func(b *testbed) {
						fillers := b.fillZones()
						running := b.useQuotas(k%2 == 1)
						cancelled := running[:2]
						affected := map[string]bool{}
						b.cloud.ForEachMachine(func(name string, _ *emulator.SimulatedMachine) { affected[name] = true })
						for name := range affected {
							b.withMachine(name, func(m *emulator.SimulatedMachine) { set(m, true) })
						}
						sessions := b.sessionRevisions()
						restart := b.fail(f, running[0].ID)
						for _, s := range cancelled {
							go func() {
								if !b.cancel("", s.ID) {
									b.t.Error("the cancellation is not acknowledged")
								}
							}()
						}
						time.Sleep(duration)
						for name := range affected {
							b.withMachine(name, func(m *emulator.SimulatedMachine) { set(m, false) })
						}
						for _, s := range cancelled {
							if f.downtime < downtimeBeyondLease && b.history.CancelAcknowledgedAt(s.ID).IsZero() {
								b.t.Errorf("the cancellation of %s was not acknowledged while its machine was unreachable", s.ID)
							}
						}
						if b.sessionRevisions() == sessions && f.downtime != never {
							b.t.Error("no session changed: this shows nothing")
						}
						restart()
						b.history.RecordFaultsEnded()
						time.Sleep(4 * time.Minute)
						stayed := b.history.TimesToStopAfterCancel()
						if f.downtime < downtimeBeyondLease && (len(stayed) == 0 || stayed[len(stayed)-1] < 5*time.Second) {
							b.t.Errorf("tasks stayed for %v after the acknowledgement: this shows nothing", stayed)
						}
						for _, s := range append(fillers, running[2:]...) { // the rest ends
							b.cancel("", s.ID)
						}
						time.Sleep(2 * time.Minute)
						b.t.Logf("tasks stayed for %v; %d starts after an acknowledged cancellation",
							b.history.TimesToStopAfterCancel(), b.history.StartsAfterCancel())
						b.history.CheckFinalState()
						b.checkNoViolations()
					})
				})
			}
		}
	}
}

// Jobs are cancelled in each of the seconds of a failover: by a crash, a planned rollout, a
// return. Users are answered by the failed one just before, by its successor, or by a third.
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
						b.t.Fatal("not accepted")
					}
					jobs = append(jobs, s)
				}
				b.waitUntil("they run", 3*time.Minute, func() bool { return b.tasksOnMachines(jobs) == len(jobs) })
				time.Sleep(10 * time.Second)
				failing := b.hostsOf(f.role, jobs[0].ID)
				if len(failing) != 1 || failing[0] == "" {
					b.t.Fatalf("the %s is %v", f.role, failing)
				}
				began := b.keyRevision(statekv.SessionPrefix + failing[0])
				if !b.cancelPromptly(failing[0], jobs[0].ID) {
					b.t.Fatal("not acknowledged by the old one")
				}
				restart := b.stopFor(failing, f.downtime)
				var users sync.WaitGroup
				for k, s := range jobs[1:] { // one each half second
					users.Go(func() {
						time.Sleep(time.Duration(k) * 500 * time.Millisecond)
						b.cancelPromptly(b.hosts[k%3], s.ID)
					})
				}
				users.Wait()
				took := time.Since(b.history.CancelAcknowledgedAt(jobs[0].ID))
				time.Sleep(workers.CancellationDeadline)
				if now := b.keyRevision(statekv.SessionPrefix + failing[0]); now == began {
					b.t.Error("its session goes on: this shows nothing")
				}
				acknowledged := 0
				for _, s := range jobs[1:] {
					if at := b.history.CancelAcknowledgedAt(s.ID); !at.IsZero() && at.Sub(b.history.CancelAcknowledgedAt(jobs[0].ID)) < 8*time.Second {
						acknowledged++
					}
				}
				if acknowledged < 5 {
					b.t.Errorf("%d cancellations were acknowledged within 8 s of the end: this shows little", acknowledged)
				}
				restart()
				b.t.Logf("%d acknowledged within 8 s, all in %v; tasks stayed for %v; %d starts after it", acknowledged, took, b.history.TimesToStopAfterCancel(), b.history.StartsAfterCancel())
				b.history.RecordFaultsEnded()
				time.Sleep(2 * time.Minute)
				b.checkNoViolations()
			})
		})
	}
}

// A gang saves, for it is preempted, when its user cancels it: it is ended without the time to
// save.
func TestCheckpointingGangIsCancelled(t *testing.T) {
	runScenario(t, 5, func(b *testbed) {
		s := b.startRunningJob("host-0", "b", job.Gang)
		b.forEachMachine(func(m *emulator.SimulatedMachine) { m.StartCheckpoints(time.Minute) })
		if !b.cancel("host-2", s.ID) {
			b.t.Fatal("the cancellation is not acknowledged")
		}
		time.Sleep(5 * time.Second)
		if n := b.history.TasksOnMachines(s.ID); n > 0 {
			b.t.Errorf("%d of its tasks save on", n)
		}
		b.checkNoViolations()
	})
}

// A cancellation is acknowledged while no watch has shown it yet, not even that of the
// controller that acknowledges it: the owners of its machines know all the same, whoever does.
func TestOwnersLearnOfCancellationBeforeUser(t *testing.T) {
	for _, shape := range []string{job.Array, job.Gang, job.Service} {
		for _, host := range []string{"host-0", "host-1", "host-2"} { // scheduler, owner, neither
			t.Run(fmt.Sprint(shape, " ", host), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 71, func(b *testbed) {
					s := b.startRunningJob("host-0", "b", shape)
					b.setWatchLag(3 * time.Second)
					time.Sleep(10 * time.Second)
					if !b.cancelPromptly(host, s.ID) {
						b.t.Fatal("the cancellation is not acknowledged")
					}
					time.Sleep(200 * time.Millisecond)
					if n := b.history.TasksOnMachines(s.ID); n > 0 {
						b.t.Errorf("%d tasks are on machines 0.2 s after it, where watches take 3 s", n)
					}
					b.setWatchLag(0)
					time.Sleep(20 * time.Second)
					b.checkNoViolations()
				})
			})
		}
	}
}

// Jobs are cancelled about when their tasks have their images. None starts after the
// acknowledgement, though watches take half a second, at every controller.
func TestNoStartAfterAcknowledgedCancellation(t *testing.T) {
	runScenario(t, 72, func(b *testbed) {
		b.startRunningJob("host-0", "a", job.Array)
		time.Sleep(5 * time.Second)
		b.setWatchLag(500 * time.Millisecond)
		fetching := 0
		for k := range 60 {
			s := arrayJob(b.nextJobID(), 2)
			if !b.submit(b.hosts[k%3], s, time.Hour) {
				b.t.Fatal("not accepted")
			}
			time.Sleep(time.Duration(20*(k%30)) * time.Millisecond)
			if !b.cancelPromptly(b.hosts[(k/3)%3], s.ID) {
				b.t.Fatal("the cancellation is not acknowledged")
			}
			if b.history.TasksOnMachines(s.ID) < 2 { // some fetch their images
				fetching++
			}
			time.Sleep(3 * time.Second)
		}
		if fetching < 10 {
			b.t.Errorf("of %d jobs a task was yet to start when they were cancelled: this shows little", fetching)
		}
		if n := b.history.StartsAfterCancel(); n > 0 {
			b.t.Errorf("%d tasks started after the acknowledgement", n)
		}
		b.checkNoViolations()
	})
}
