package integration

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// The state service rejects the lease renewals of an owner but still serves its watches. The owner
// sees that other controllers have acquired its shards, and all of them confirm that they have
// acknowledged no cancellation since. The commands of the new owners do not reach the machines. The
// former owner must not renew the worker leases, because its successors rely on their expiry before
// they start the tasks elsewhere.
func TestOwnerWithSuccessorsStopsRenewingLeases(t *testing.T) {
	// A long boot time delays the replacement of unresponsive machines.
	runScenarioWithBootTime(t, 23, 40, func(b *testbed) {
		s := inZone("a", arrayJob(b.nextJobID(), 10))
		if !b.submit("host-1", s, 10*time.Minute) {
			b.t.Fatal("the job was not accepted")
		}
		b.waitUntil("the tasks are running", 3*time.Minute, func() bool {
			return b.history.TasksOnMachines(s.ID) == 10
		})
		b.forEachMachine(func(m *emulator.SimulatedMachine) { m.CommandsLost = true })
		b.stateClient("host-0").SetRejectRenewals(true)
		time.Sleep(3 * time.Minute)
		b.stateClient("host-0").SetRejectRenewals(false)
		b.forEachMachine(func(m *emulator.SimulatedMachine) { m.CommandsLost = false })
		time.Sleep(15 * time.Minute)
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}

// rejectionCase is the scheduler and the zone of a job, and the controller that the state service
// rejects.
type rejectionCase struct{ scheduler, zone, rejected string }

var rejectionCases = map[string]rejectionCase{
	"scheduler and owner rejected": {"host-0", "a", "host-0"},
	"scheduler rejected":           {"host-0", "b", "host-0"},
	"owner rejected":               {"host-1", "a", "host-0"},
}

// outageDelays are the times from the acknowledgement to the outage: before the roles of the
// rejected controller can be acquired, at about that time, and after it. A lease in the state
// service lasts 4 s.
var outageDelays = []time.Duration{
	100 * time.Millisecond, 2800 * time.Millisecond, 3300 * time.Millisecond, 4300 * time.Millisecond, 5 * time.Second,
}

// rejectThenOutage rejects one controller at the state service, cancels the job at another, and
// then takes the state service down for all controllers for longer than the cancellation deadline,
// while workers continue to send heartbeats. before is called before the rejection and after, in a
// goroutine, after the acknowledgement; both may be nil.
func (b *testbed) rejectThenOutage(c rejectionCase, shape string, delay time.Duration, before, after func()) {
	b.t.Helper()
	s := b.startRunningJob(c.scheduler, c.zone, shape)
	dependent := arrayJob(b.nextJobID(), 1)
	dependent.WaitsOn = []string{s.ID}
	waits := shape != job.Service && b.submit("host-2", dependent, time.Hour)
	if before != nil {
		before()
	}
	b.stateClient(c.rejected).SetRejectAll(true)
	running := b.history.TasksOnMachines(s.ID)
	if running == 0 {
		b.t.Fatal("scenario not exercised: no task was on a machine")
	}
	if !b.cancel("host-2", s.ID) {
		b.t.Fatal("the cancellation was not acknowledged")
	}
	if after != nil {
		go after()
	}
	time.Sleep(delay)
	b.state.SetOutage(true, false)
	time.Sleep(workers.CancellationDeadline + 40*time.Second)
	b.state.SetOutage(false, false)
	b.stateClient(c.rejected).SetRejectAll(false)
	time.Sleep(40 * time.Second)
	b.t.Logf("%d tasks were on machines before the cancellation; tasks stopped %v after the acknowledgement",
		running, b.history.TimesToStopAfterCancel())
	if code, status := b.callAsUser("host-2", "GET", "/submissions/"+dependent.ID, nil, 2*time.Second); waits && status != job.Cancelled {
		b.t.Errorf("orphaned: status of the dependent job: got code %d and %q, want %q", code, status, job.Cancelled)
	}
	b.checkNoViolations()
}

// Guards against cancelled tasks that keep running, and against dependent jobs that are not
// cancelled, when the state service first rejects a controller and then fails for all. The
// rejected controller is the scheduler of the job, the owner of its machines, or both.
func TestRejectedControllerThenOutage(t *testing.T) {
	for name, c := range rejectionCases {
		for _, delay := range outageDelays {
			t.Run(fmt.Sprint(name, " ", delay), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 2, func(b *testbed) { b.rejectThenOutage(c, job.Array, delay, nil, nil) })
			})
		}
	}
}

// Like TestRejectedControllerThenOutage, with gangs and services as well and with one more fault.
func TestRejectedControllerThenOutageWithAnotherFault(t *testing.T) {
	hang := func(b *testbed, duration time.Duration) func() {
		return func() {
			time.Sleep(50 * time.Millisecond)
			b.forEachMachine(func(m *emulator.SimulatedMachine) { m.Hung = true })
			time.Sleep(duration)
			b.forEachMachine(func(m *emulator.SimulatedMachine) { m.Hung = false })
		}
	}
	moreFaults := map[string]func(b *testbed, c rejectionCase) (before, after func()){
		"no further faults": func(*testbed, rejectionCase) (func(), func()) { return nil, nil },
		"workers hang for 10 s": func(b *testbed, _ rejectionCase) (func(), func()) {
			return nil, hang(b, 10*time.Second)
		},
		"workers hang for 70 s": func(b *testbed, _ rejectionCase) (func(), func()) {
			return nil, hang(b, 70*time.Second)
		},
		"the rejected controller restarts": func(b *testbed, c rejectionCase) (func(), func()) {
			return nil, func() { b.crash(c.rejected); time.Sleep(300 * time.Millisecond); b.start(c.rejected) }
		},
		"rejected controller shuts down": func(b *testbed, c rejectionCase) (func(), func()) {
			return nil, func() { b.crash(c.rejected) }
		},
		"partitioned from peers": func(b *testbed, c rejectionCase) (func(), func()) {
			return func() { b.network.setPartitioned(c.rejected, true) }, func() {
				time.Sleep(80 * time.Second)
				b.network.setPartitioned(c.rejected, false)
			}
		},
		"commands are lost": func(b *testbed, _ rejectionCase) (func(), func()) {
			return func() { b.forEachMachine(func(m *emulator.SimulatedMachine) { m.CommandsLost = true }) }, nil
		},
	}
	for name, c := range rejectionCases {
		for fault, inject := range moreFaults {
			for k, shape := range []string{job.Array, job.Gang, job.Service} {
				t.Run(fmt.Sprint(name, " ", fault, " ", shape), func(t *testing.T) {
					t.Parallel()
					runScenario(t, 4, func(b *testbed) {
						before, after := inject(b, c)
						// The length of the fault's name is added so that the faults use different
						// delays.
						delay := outageDelays[(k+len(fault))%len(outageDelays)]
						b.rejectThenOutage(c, shape, delay, before, after)
					})
				})
			}
		}
	}
}
