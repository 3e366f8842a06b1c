package integration

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// A controller is partitioned from the state service and from the other controllers, but not from
// its workers and users, and jobs are cancelled at another controller. The partitioned controller
// must not report an older status, and the tasks that it started must stop in time.
func TestPartitionedControllerWhileJobsAreCancelled(t *testing.T) {
	for _, inboundOnly := range []bool{false, true} {
		t.Run(fmt.Sprint("outbound calls succeed: ", inboundOnly), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 11, func(b *testbed) {
				local, remote := b.startRunningJob("host-0", "a", job.Array), b.startRunningJob("host-0", "b", job.Gang)
				b.stateClient("host-0").SetRejectAll(true)
				if inboundOnly {
					b.network.setInboundLost("host-0", true)
				} else {
					b.network.setPartitioned("host-0", true)
				}
				for _, s := range []job.Spec{local, remote} {
					if !b.cancel("host-1", s.ID) {
						b.t.Fatal("the cancellation was not acknowledged")
					}
				}
				late := arrayJob(b.nextJobID(), 1)
				b.history.RecordSubmission(late)
				answered := 0
				for range 90 {
					time.Sleep(time.Second)
					for _, id := range []string{local.ID, remote.ID, "wk-999999"} {
						code, _ := b.queryOnce("host-0", id)
						if code == 0 {
							b.t.Fatalf("a query about %s to the partitioned controller got no response", id)
						}
						answered++
					}
					b.submitOnce("host-0", late.ID, submissionOf(late))
				}
				b.stateClient("host-0").SetRejectAll(false)
				b.network.setPartitioned("host-0", false)
				b.network.setInboundLost("host-0", false)
				time.Sleep(30 * time.Second)
				b.t.Logf("%d responses from the partitioned controller; tasks stopped %v after the acknowledgement",
					answered, b.history.TimesToStopAfterCancel())
				b.checkNoViolations()
			})
		})
	}
}

// A zone with its workers and one controller is partitioned from everything else, for less or more
// than a worker lease. Tasks in the zone may continue and must not be started elsewhere. Jobs that
// are cancelled outside the zone during the partition must stop in time.
func TestZonePartitionedWithItsController(t *testing.T) {
	for _, duration := range []time.Duration{20 * time.Second, 45 * time.Second, 2 * time.Minute} {
		t.Run(duration.String(), func(t *testing.T) {
			t.Parallel()
			// The boot time of 40 s delays the replacement of unresponsive machines by the
			// autoscaler.
			runScenarioWithBootTime(t, 101, 40, func(b *testbed) {
				running, cancelled := inZone("b", arrayJob(b.nextJobID(), 2)), inZone("b", arrayJob(b.nextJobID(), 2))
				// Six machines in the zone are too many for an isolated failure. The autoscaler
				// would delete the machines of an isolated failure at once.
				for _, s := range []job.Spec{
					running,
					cancelled,
					inZone("b", arrayJob(b.nextJobID(), 4)),
					inZone("b", arrayJob(b.nextJobID(), 4)),
				} {
					if !b.submit("host-0", s, 4*time.Minute) {
						b.t.Fatal("the job was not accepted")
					}
				}
				b.waitUntil("the tasks of both jobs are running", 3*time.Minute, func() bool {
					return b.history.TasksOnMachines(running.ID) == 2 && b.history.TasksOnMachines(cancelled.ID) == 2
				})
				time.Sleep(10 * time.Second)
				if h := b.ownerOf(b.history.MachineOfFirstTask(running.ID)); h != "host-1" {
					b.t.Fatalf("scenario not exercised: owner of the machine: got %s, want host-1", h)
				}
				setZonePartitioned := func(on bool) {
					b.network.setPartitioned("host-1", on)
					b.stateClient("host-1").SetRejectAll(on)
					b.setUnreachableByUsers("host-1", on)
					b.forEachMachine(func(m *emulator.SimulatedMachine) {
						switch {
						case m.Zone() != "b":
							m.UnreachableFrom = map[bool]string{true: "host-1"}[on]
						case on:
							m.OnlyReachableController = "host-1"
						default:
							m.OnlyReachableController = ""
						}
					})
				}
				setZonePartitioned(true)
				if !b.cancel("host-2", cancelled.ID) {
					b.t.Fatal("the cancellation was not acknowledged")
				}
				if b.history.TasksOnMachines(cancelled.ID) == 0 {
					b.t.Error("scenario not exercised: no task was on a machine at the acknowledgement")
				}
				go b.submit("host-2", inZone("b", arrayJob(b.nextJobID(), 1)), 10*time.Second)
				time.Sleep(duration)
				if n := b.history.TasksOnMachines(running.ID); n == 0 && duration < 25*time.Second {
					b.t.Errorf("%d tasks are running in the partitioned zone, want at least 1", n)
				}
				setZonePartitioned(false)
				b.history.RecordFaultsEnded()
				time.Sleep(8 * time.Minute)
				b.t.Logf("tasks stopped %v after the acknowledgement", b.history.TimesToStopAfterCancel())
				b.history.CheckFinalState()
				b.checkNoViolations()
			})
		})
	}
}

// The scheduler of a job and the owner of its machines cannot reach each other when the job is
// cancelled. Only the owner itself can have the tasks stopped.
func TestSchedulerPartitionedFromOwner(t *testing.T) {
	for _, shape := range []string{job.Array, job.Gang, job.Service} {
		t.Run(shape, func(t *testing.T) {
			runScenario(t, 3, func(b *testbed) {
				s := b.startRunningJob("host-0", "b", shape)
				b.network.setPartitioned("host-1", true)
				if !b.cancel("host-2", s.ID) {
					b.t.Fatal("the cancellation was not acknowledged")
				}
				time.Sleep(workers.CancellationDeadline + 10*time.Second)
				b.network.setPartitioned("host-1", false)
				time.Sleep(30 * time.Second)
				b.t.Logf("tasks stopped %v after the acknowledgement", b.history.TimesToStopAfterCancel())
				b.checkNoViolations()
			})
		})
	}
}
