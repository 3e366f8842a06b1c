package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/policy"
)

// Worker epoch and content of the heartbeats that TestStaleHeartbeatsDuringFailover captures.
const (
	sameEpoch   = "current worker epoch"
	endedEpoch  = "ended worker epoch"
	beforeStart = "before the tasks started"
)

// Guards against an owner that trusts an old heartbeat. Copies of captured heartbeats reach every
// controller during a failover, before and after the first current heartbeat. They are of the
// current worker epoch or of an ended one, and list tasks that have ended and were forgotten since,
// or lack tasks that have started since. They must not make a task count as running or lost, or a
// machine as reconciled.
func TestStaleHeartbeatsDuringFailover(t *testing.T) {
	for _, f := range failovers(roles) {
		for _, capture := range []string{sameEpoch, endedEpoch, beforeStart} {
			t.Run(fmt.Sprint(capture, ", ", f), func(t *testing.T) {
				t.Parallel()
				runScenarioWithPolicy(t, 65, defaultBootS, defaultMaxMachines, capturePolicy(capture), func(b *testbed) {
					short, long := inZone("a", arrayJob(b.nextJobID(), 2)), inZone("a", arrayJob(b.nextJobID(), 2))
					b.submit("host-0", short, 15*time.Second)
					b.submit("host-0", long, 3*time.Minute)
					first := inZone("a", arrayJob(b.nextJobID(), 6))
					b.submit("host-0", first, 5*time.Second)
					b.waitUntil("the tasks of both jobs are running", time.Minute, func() bool {
						return b.history.TasksOnMachines(short.ID) == 2 && b.history.TasksOnMachines(long.ID) == 2
					})
					b.waitUntil("the first job is done", time.Minute, func() bool {
						return b.history.TaskCompleted(job.TaskID(first.ID, 5)) &&
							b.history.TasksOnMachines(first.ID) == 0
					})
					time.Sleep(4 * time.Second)
					b.forEachMachine(func(m *emulator.SimulatedMachine) { m.CaptureHeartbeat() })
					switch capture {
					case beforeStart:
						// The captured heartbeats do not list the tasks of this job, and a new
						// owner receives them before any other heartbeat.
						long = inZone("a", arrayJob(b.nextJobID(), 6))
						b.submit("host-0", long, 3*time.Minute)
						b.waitUntil("the tasks of the long job are running", time.Minute, func() bool {
							return b.history.TasksOnMachines(long.ID) == 6
						})
						time.Sleep(4 * time.Second)
					case endedEpoch:
						// The workers receive the responses too late, so their leases expire.
						b.forEachMachine(func(m *emulator.SimulatedMachine) { m.ResponseDelay = 4500 * time.Millisecond })
						time.Sleep(workers.LeaseDuration + 6*time.Second)
						b.forEachMachine(func(m *emulator.SimulatedMachine) { m.ResponseDelay = 0 })
						b.waitUntil("two tasks are running again", 3*time.Minute, func() bool {
							return b.history.TasksOnMachines(short.ID)+b.history.TasksOnMachines(long.ID) > 1
						})
					default:
						b.waitUntil("the short job is done", 3*time.Minute, func() bool {
							return b.history.TaskCompleted(job.TaskID(short.ID, 0)) &&
								b.history.TaskCompleted(job.TaskID(short.ID, 1))
						})
						time.Sleep(8 * time.Second) // until the workers have forgotten the task
					}
					before, sessions := b.history.TaskStarts(), b.sessionRevisionSum()
					if capture == beforeStart {
						if n := b.capturedHeartbeatsWithout(long.ID); n == 0 {
							b.t.Fatal("scenario not exercised: every captured heartbeat lists the tasks on its machine")
						}
						b.forEachMachine(func(m *emulator.SimulatedMachine) { m.HeartbeatsLost, m.CommandsLost = true, true })
						go func() {
							time.Sleep(max(0, f.downtime) + 10*time.Second)
							b.forEachMachine(func(m *emulator.SimulatedMachine) { m.HeartbeatsLost, m.CommandsLost = false, false })
						}()
					} else if n := b.staleCapturedHeartbeats(short.ID, capture == endedEpoch); n == 0 {
						b.t.Fatal("scenario not exercised: no captured heartbeat lists a task that is over")
					}
					restart := b.crashRole(f, long.ID)
					responses := 0
					for range 40 { // from the crash until the shards are acquired
						responses += b.sendCapturedHeartbeats()
						time.Sleep(200 * time.Millisecond)
					}
					if f.downtime == downtimeBeyondLease {
						time.Sleep(f.downtime - 10*time.Second)
						for range 20 {
							responses += b.sendCapturedHeartbeats()
							time.Sleep(200 * time.Millisecond)
						}
					}
					if b.sessionRevisionSum() == sessions && f.downtime != forever {
						b.t.Error("scenario not exercised: no session changed")
					}
					if responses < 50 {
						b.t.Errorf("scenario hardly exercised: %d captured heartbeats got a response, want at least 50",
							responses)
					}
					restart()
					b.history.RecordFaultsEnded()
					time.Sleep(30 * time.Second)
					if restarts := b.history.TaskStarts() - before - b.cloud.TasksLostToScaleIn(); restarts > 0 &&
						f.downtime != downtimeBeyondLease && capture == sameEpoch {
						b.t.Errorf("%d tasks were restarted, want 0", restarts)
					}
					time.Sleep(6 * time.Minute)
					b.history.CheckFinalState()
					b.checkNoViolations()
				})
			})
		}
	}
}

// capturePolicy returns the policy of a scenario. It keeps idle machines if the captured worker
// epoch ends during the scenario. The tasks that are killed at the end of the epoch start again on
// any machine, so otherwise all machines that are idle then could be deleted, including every
// machine whose captured heartbeat lists a task that the scenario is about.
func capturePolicy(capture string) *policy.Policy {
	p := policy.Default()
	if capture == endedEpoch {
		p.ScaleInIdleTime = time.Hour
	}
	return p
}

// staleCapturedHeartbeats counts the tasks of a job that a captured heartbeat lists although they
// are over. If earlier is set, a task is over if its machine has a new worker epoch; otherwise, it
// is over if its machine no longer lists it.
func (b *testbed) staleCapturedHeartbeats(id string, earlier bool) (n int) {
	b.forEachMachine(func(m *emulator.SimulatedMachine) {
		for _, task := range []string{job.TaskID(id, 0), job.TaskID(id, 1)} {
			if m.CapturedHeartbeatLists(task) && (earlier && m.WorkerEpoch() > 1 || !earlier && !m.ListsTask(task)) {
				n++
			}
		}
	})
	return n
}

// capturedHeartbeatsWithout counts the tasks of a job that are on a machine whose captured
// heartbeat does not list them.
func (b *testbed) capturedHeartbeatsWithout(id string) (n int) {
	b.forEachMachine(func(m *emulator.SimulatedMachine) {
		for k := range 6 {
			if task := job.TaskID(id, k); m.HasCapturedHeartbeat() && m.ListsTask(task) && !m.CapturedHeartbeatLists(task) {
				n++
			}
		}
	})
	return n
}

// sendCapturedHeartbeats sends the captured heartbeats of all machines to all controllers
// concurrently, and returns how many of them got a response.
func (b *testbed) sendCapturedHeartbeats() (responses int) {
	var machines []*emulator.SimulatedMachine
	b.forEachMachine(func(m *emulator.SimulatedMachine) { machines = append(machines, m) })
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, m := range machines {
		for _, h := range b.hosts {
			all.Go(func() {
				if m.SendCapturedHeartbeat(h) != 0 {
					mu.Lock()
					responses++
					mu.Unlock()
				}
			})
		}
	}
	all.Wait()
	return responses
}

// Copies of old heartbeats, also of earlier worker epochs and attempts, reach every controller from
// seconds to well over a worker lease late, while tasks start and end.
func TestDuplicateHeartbeatsArriveLate(t *testing.T) {
	runScenario(t, 17, func(b *testbed) {
		for k := range 5 {
			go b.submitStaggered("", arrayJob(b.nextJobID(), 1+k%3), 8*time.Second, 12*time.Second)
		}
		for step := range 100 {
			time.Sleep(1500 * time.Millisecond)
			b.forEachMachine(func(m *emulator.SimulatedMachine) {
				m.SendDuplicateHeartbeat(b.hosts[step%3])
				m.InboundLost = step >= 30 && step < 54 // their worker leases expire
			})
			if step%10 == 5 {
				go b.submit("", withShape(job.Gang, arrayJob(b.nextJobID(), 2)), 8*time.Second)
			}
			if step == 40 || step == 60 {
				b.crash(b.hosts[step/20%3])
				time.Sleep(time.Second)
				b.start(b.hosts[step/20%3])
			}
		}
		b.history.RecordFaultsEnded()
		time.Sleep(5 * time.Minute)
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}

// A heartbeat is delayed until a failover is over. It then reaches the successor as the first
// heartbeat that any controller gets from its machine.
func TestHeartbeatDelayedPastFailover(t *testing.T) {
	for _, role := range roles {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 106, func(b *testbed) {
				long, short := inZone("a", arrayJob(b.nextJobID(), 2)), inZone("a", arrayJob(b.nextJobID(), 2))
				b.submit("host-0", long, 3*time.Minute)
				for range 4 { // so many machines are no isolated failure; the autoscaler would delete those at once
					b.submit("host-0", inZone("a", arrayJob(b.nextJobID(), 2)), 3*time.Minute)
				}
				b.submit("host-0", short, 20*time.Second)
				b.waitUntil("the tasks of both jobs are running", time.Minute, func() bool {
					return b.history.TasksOnMachines(long.ID) == 2 && b.history.TasksOnMachines(short.ID) == 2
				})
				b.forEachMachine(func(m *emulator.SimulatedMachine) { m.HeartbeatsLost, m.CommandsLost = true, true })
				time.Sleep(4 * time.Second)
				b.forEachMachine(func(m *emulator.SimulatedMachine) { m.CaptureHeartbeat() })
				sessions := b.sessionRevisionSum()
				b.crashFor(b.hostsOf(role, long.ID), 400*time.Millisecond)
				b.waitUntil("the short job is done", 30*time.Second, func() bool {
					return b.history.TaskCompleted(job.TaskID(short.ID, 1))
				})
				b.forEachMachine(func(m *emulator.SimulatedMachine) { m.HeartbeatsLost, m.CommandsLost = false, false })
				time.Sleep(6 * time.Second)
				if b.sessionRevisionSum() == sessions {
					b.t.Error("scenario not exercised: no session changed")
				}
				if n := b.sendCapturedHeartbeats(); n < 3 {
					b.t.Errorf("scenario not exercised: %d captured heartbeats got a response, want at least 3", n)
				}
				time.Sleep(500 * time.Millisecond)
				b.sendCapturedHeartbeats()
				b.history.RecordFaultsEnded()
				time.Sleep(6 * time.Minute)
				b.history.CheckFinalState()
				b.checkNoViolations()
			})
		})
	}
}
