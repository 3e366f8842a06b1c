package integration

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// An owner's lease is not renewed, while its watches are served: it sees that others have
// acquired its shards, and all tell it that they have acknowledged nothing later. Commands of
// the new owners do not reach the machines. It must not renew their leases, for its successors
// count on them to expire and start the tasks elsewhere.
func TestOwnerWithSuccessorsStopsRenewingLeases(t *testing.T) {
	runScenarioWithBootTime(t, 23, 40, func(b *testbed) { // longer than unresponsive machines are waited for
		s := inZone("a", arrayJob(b.nextJobID(), 10))
		if !b.submit("host-1", s, 10*time.Minute) {
			b.t.Fatal("not accepted")
		}
		b.waitUntil("it runs", 3*time.Minute, func() bool { return b.history.TasksOnMachines(s.ID) == 10 })
		b.forEachMachine(func(m *emulator.SimulatedMachine) { m.CommandsLost = true })
		b.stateClient("host-0").SetRefuseRenewals(true)
		time.Sleep(3 * time.Minute)
		b.stateClient("host-0").SetRefuseRenewals(false)
		b.forEachMachine(func(m *emulator.SimulatedMachine) { m.CommandsLost = false })
		time.Sleep(15 * time.Minute)
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}

// refusedRoles is who is what when the state service refuses a controller alone.
type refusedRoles struct{ scheduler, zone, refused string }

var refusedRoleCases = map[string]refusedRoles{
	"scheduler and owner refused": {"host-0", "a", "host-0"},
	"scheduler refused":           {"host-0", "b", "host-0"},
	"owner refused":               {"host-1", "a", "host-0"},
}

// outageDelays are the times from the acknowledgement to the outage: before the refused one's
// roles can be acquired, about when they are, and afterwards. A lease of the state service is
// 4 s.
var outageDelays = []time.Duration{100 * time.Millisecond, 2800 * time.Millisecond, 3300 * time.Millisecond, 4300 * time.Millisecond, 5 * time.Second}

// refuseThenOutage plays the scenario: the state service refuses one controller alone, another
// acknowledges that the job is cancelled, and then the service is down for all for longer than
// the cancellation deadline, while the workers go on with their heartbeats. before and after
// are done before the refusal and after the acknowledgement; nil: nothing.
func (b *testbed) refuseThenOutage(c refusedRoles, shape string, delay time.Duration, before, after func()) {
	b.t.Helper()
	s := b.startRunningJob(c.scheduler, c.zone, shape)
	dependent := arrayJob(b.nextJobID(), 1)
	dependent.WaitsOn = []string{s.ID}
	waits := shape != job.Service && b.submit("host-2", dependent, time.Hour)
	if before != nil {
		before()
	}
	b.stateClient(c.refused).SetRefuseAll(true)
	running := b.history.TasksOnMachines(s.ID)
	if running == 0 {
		b.t.Fatal("nothing was on machines: this shows nothing")
	}
	if !b.cancel("host-2", s.ID) {
		b.t.Fatal("the cancellation is not acknowledged")
	}
	if after != nil {
		go after()
	}
	time.Sleep(delay)
	b.state.SetOutage(true, false)
	time.Sleep(workers.CancellationDeadline + 40*time.Second)
	b.state.SetOutage(false, false)
	b.stateClient(c.refused).SetRefuseAll(false)
	time.Sleep(40 * time.Second)
	b.t.Logf("%d tasks on machines at the acknowledgement; they stayed for %v", running, b.history.TimesToStopAfterCancel())
	if code, status := b.callAsUser("host-2", "GET", "/submissions/"+dependent.ID, nil, 2*time.Second); waits && status != job.Cancelled {
		b.t.Errorf("orphaned: the dependent job is told as %d %s", code, status)
	}
	b.checkNoViolations()
}

// For each role that the refused controller may have.
func TestRefusedControllerThenOutage(t *testing.T) {
	for name, c := range refusedRoleCases {
		for _, delay := range outageDelays {
			t.Run(fmt.Sprint(name, " ", delay), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 2, func(b *testbed) { b.refuseThenOutage(c, job.Array, delay, nil, nil) })
			})
		}
	}
}

// The same with gangs, services and dependent jobs, and with one more fault meanwhile.
func TestRefusedControllerThenOutageWithAnotherFault(t *testing.T) {
	hang := func(b *testbed, duration time.Duration) func() {
		return func() {
			time.Sleep(50 * time.Millisecond)
			b.forEachMachine(func(m *emulator.SimulatedMachine) { m.Hung = true })
			time.Sleep(duration)
			b.forEachMachine(func(m *emulator.SimulatedMachine) { m.Hung = false })
		}
	}
	moreFaults := map[string]func(b *testbed, c refusedRoles) (before, after func()){
		"nothing more":          func(*testbed, refusedRoles) (func(), func()) { return nil, nil },
		"workers hang for 10 s": func(b *testbed, _ refusedRoles) (func(), func()) { return nil, hang(b, 10*time.Second) },
		"workers hang for long": func(b *testbed, _ refusedRoles) (func(), func()) { return nil, hang(b, 70*time.Second) },
		"the refused one starts": func(b *testbed, c refusedRoles) (func(), func()) {
			return nil, func() { b.crash(c.refused); time.Sleep(300 * time.Millisecond); b.start(c.refused) }
		},
		"the refused one ends": func(b *testbed, c refusedRoles) (func(), func()) { return nil, func() { b.crash(c.refused) } },
		"peers refuse": func(b *testbed, c refusedRoles) (func(), func()) {
			return func() { b.network.setPartitioned(c.refused, true) }, func() { time.Sleep(80 * time.Second); b.network.setPartitioned(c.refused, false) }
		},
		"commands are lost": func(b *testbed, _ refusedRoles) (func(), func()) {
			return func() { b.forEachMachine(func(m *emulator.SimulatedMachine) { m.CommandsLost = true }) }, nil
		},
	}
	for name, c := range refusedRoleCases {
		for fault, inject := range moreFaults {
			for k, shape := range []string{job.Array, job.Gang, job.Service} {
				t.Run(fmt.Sprint(name, " ", fault, " ", shape), func(t *testing.T) {
					t.Parallel()
					runScenario(t, 4, func(b *testbed) {
						before, after := inject(b, c)
						delay := outageDelays[(k+len(fault))%len(outageDelays)]
						b.refuseThenOutage(c, shape, delay, before, after)
					})
				})
			}
		}
	}
}
