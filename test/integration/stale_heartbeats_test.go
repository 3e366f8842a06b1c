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

// When the heartbeats of TestStaleHeartbeatsDuringFailover were captured.
const (
	sameEpoch  = "the same worker epoch"
	endedEpoch = "an ended worker epoch"
	beforeWork = "before its work began"
)

// Heartbeats are captured, and copies of them reach every controller during a failover, before
// and after the first true heartbeat: of the present worker epoch, of one that has ended, with
// tasks that have ended since and were forgotten. Nothing is taken for gone, for running or
// for reconciled on their strength.
func TestStaleHeartbeatsDuringFailover(t *testing.T) {
	for _, f := range failovers(roles) {
		for _, capture := range []string{sameEpoch, endedEpoch, beforeWork} {
			t.Run(fmt.Sprint(capture, ", ", f), func(t *testing.T) {
				t.Parallel()
				runScenarioWithPolicy(t, 65, defaultBootS, defaultMaxMachines, capturePolicy(capture), func(b *testbed) {
					short, long := inZone("a", arrayJob(b.nextJobID(), 2)), inZone("a", arrayJob(b.nextJobID(), 2))
					b.submit("host-0", short, 15*time.Second)
					b.submit("host-0", long, 3*time.Minute)
					first := inZone("a", arrayJob(b.nextJobID(), 6))
					b.submit("host-0", first, 5*time.Second)
					b.waitUntil("both run", time.Minute, func() bool {
						return b.history.TasksOnMachines(short.ID) == 2 && b.history.TasksOnMachines(long.ID) == 2
					})
					b.waitUntil("the first is over", time.Minute, func() bool {
						return b.history.TaskCompleted(job.TaskID(first.ID, 5)) && b.history.TasksOnMachines(first.ID) == 0
					})
					time.Sleep(4 * time.Second)
					b.forEachMachine(func(m *emulator.SimulatedMachine) { m.CaptureHeartbeat() })
					switch capture {
					case beforeWork:
						// What has begun since is in no captured heartbeat, and a new owner
						// gets those before any other.
						long = inZone("a", arrayJob(b.nextJobID(), 6))
						b.submit("host-0", long, 3*time.Minute)
						b.waitUntil("the long one runs too", time.Minute, func() bool { return b.history.TasksOnMachines(long.ID) == 6 })
						time.Sleep(4 * time.Second)
					case endedEpoch:
						// Answers come too late for the workers: their leases expire.
						b.forEachMachine(func(m *emulator.SimulatedMachine) { m.AnswerDelay = 4500 * time.Millisecond })
						time.Sleep(workers.LeaseDuration + 6*time.Second)
						b.forEachMachine(func(m *emulator.SimulatedMachine) { m.AnswerDelay = 0 })
						b.waitUntil("they run again", 3*time.Minute, func() bool { return b.history.TasksOnMachines(short.ID)+b.history.TasksOnMachines(long.ID) > 1 })
					default:
						b.waitUntil("the short one has run", 3*time.Minute, func() bool {
							return b.history.TaskCompleted(job.TaskID(short.ID, 0)) && b.history.TaskCompleted(job.TaskID(short.ID, 1))
						})
						time.Sleep(8 * time.Second) // it is forgotten
					}
					before, sessions := b.history.TaskStarts(), b.sessionRevisions()
					if capture == beforeWork {
						if n := b.capturedHeartbeatsWithout(long.ID); n == 0 {
							b.t.Fatal("no captured heartbeat was sent before its machine's work began: this shows nothing")
						}
						b.forEachMachine(func(m *emulator.SimulatedMachine) { m.HeartbeatsLost, m.CommandsLost = true, true })
						go func() {
							time.Sleep(max(0, f.downtime) + 10*time.Second)
							b.forEachMachine(func(m *emulator.SimulatedMachine) { m.HeartbeatsLost, m.CommandsLost = false, false })
						}()
					} else if n := b.staleCapturedHeartbeats(short.ID, capture == endedEpoch); n == 0 {
						b.t.Fatal("no captured heartbeat lists a task that is over: this shows nothing")
					}
					restart := b.fail(f, long.ID)
					arrived := 0
					for range 40 { // from the failure on, through the acquisition
						arrived += b.sendCapturedHeartbeats()
						time.Sleep(200 * time.Millisecond)
					}
					if f.downtime == downtimeBeyondLease {
						time.Sleep(f.downtime - 10*time.Second)
						for range 20 {
							arrived += b.sendCapturedHeartbeats()
							time.Sleep(200 * time.Millisecond)
						}
					}
					if b.sessionRevisions() == sessions && f.downtime != never {
						b.t.Error("no session changed: this shows nothing")
					}
					if arrived < 50 {
						b.t.Errorf("%d copies arrived: this shows little", arrived)
					}
					restart()
					b.history.RecordFaultsEnded()
					time.Sleep(30 * time.Second)
					if again := b.history.TaskStarts() - before - b.cloud.TasksLostToScaleIn(); again > 0 && f.downtime != downtimeBeyondLease && capture == sameEpoch {
						b.t.Errorf("%d tasks were started again", again)
					}
					time.Sleep(6 * time.Minute)
					b.history.CheckFinalState()
					b.checkNoViolations()
				})
			})
		}
	}
}

// capturePolicy keeps the machines of an ended worker epoch while the scenario goes on: tasks
// that were killed with the epoch start again on any machine, and those that are empty then
// would now and then be returned, all whose captured heartbeat lists what the scenario is about.
func capturePolicy(capture string) *policy.Policy {
	operators := policy.Default()
	if capture == endedEpoch {
		operators.ScaleInIdleTime = time.Hour
	}
	return operators
}

// staleCapturedHeartbeats counts the machines whose captured heartbeat lists a task of a job: of
// an earlier worker epoch, or of this one and the task is not listed any more.
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

// capturedHeartbeatsWithout counts the machines that have a task of a job and whose captured
// heartbeat does not list it.
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

// sendCapturedHeartbeats sends the captured heartbeats of all machines to all controllers at
// once, and returns how many reached one that answered.
func (b *testbed) sendCapturedHeartbeats() (arrived int) {
	var machines []*emulator.SimulatedMachine
	b.forEachMachine(func(m *emulator.SimulatedMachine) { machines = append(machines, m) })
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, m := range machines {
		for _, h := range b.hosts {
			all.Go(func() {
				if m.SendCapturedHeartbeat(h) != 0 {
					mu.Lock()
					arrived++
					mu.Unlock()
				}
			})
		}
	}
	all.Wait()
	return arrived
}

// Copies of old heartbeats, of earlier worker epochs and attempts as well, arrive at every
// controller from seconds to well over a lease late, while tasks come and go.
func TestDuplicateHeartbeatsArriveLate(t *testing.T) {
	runScenario(t, 17, func(b *testbed) {
		for k := range 5 {
			go b.submitStaggered("", arrayJob(b.nextJobID(), 1+k%3), 8*time.Second, 12*time.Second)
		}
		for step := range 100 {
			time.Sleep(1500 * time.Millisecond)
			b.forEachMachine(func(m *emulator.SimulatedMachine) {
				m.SendDuplicateHeartbeat(b.hosts[step%3])
				m.InboundLost = step >= 30 && step < 54 // their sessions end
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

// A heartbeat is delayed until a failover is over, and then arrives at the successor, as the
// first that anybody gets of its machine.
func TestHeartbeatDelayedPastFailover(t *testing.T) {
	for _, role := range roles {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 106, func(b *testbed) {
				long, short := inZone("a", arrayJob(b.nextJobID(), 2)), inZone("a", arrayJob(b.nextJobID(), 2))
				b.submit("host-0", long, 3*time.Minute)
				for range 4 { // so many machines that they are waited for, and not returned
					b.submit("host-0", inZone("a", arrayJob(b.nextJobID(), 2)), 3*time.Minute)
				}
				b.submit("host-0", short, 20*time.Second)
				b.waitUntil("they run", time.Minute, func() bool {
					return b.history.TasksOnMachines(long.ID) == 2 && b.history.TasksOnMachines(short.ID) == 2
				})
				b.forEachMachine(func(m *emulator.SimulatedMachine) { m.HeartbeatsLost, m.CommandsLost = true, true })
				time.Sleep(4 * time.Second)
				b.forEachMachine(func(m *emulator.SimulatedMachine) { m.CaptureHeartbeat() })
				sessions := b.sessionRevisions()
				b.stopFor(b.hostsOf(role, long.ID), 400*time.Millisecond)
				b.waitUntil("the short one has run", 30*time.Second, func() bool { return b.history.TaskCompleted(job.TaskID(short.ID, 1)) })
				b.forEachMachine(func(m *emulator.SimulatedMachine) { m.HeartbeatsLost, m.CommandsLost = false, false })
				time.Sleep(6 * time.Second)
				if b.sessionRevisions() == sessions {
					b.t.Error("no session changed: this shows nothing")
				}
				if n := b.sendCapturedHeartbeats(); n < 3 {
					b.t.Errorf("%d heartbeats arrived: this shows nothing", n)
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
