package integration

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// A controller is partitioned from the state service and the others, not from its workers and
// users; jobs are cancelled through another. Users who ask the partitioned one get no older
// answer, and what it placed is gone in time.
func TestPartitionedControllerWhileJobsAreCancelled(t *testing.T) {
	for _, inboundOnly := range []bool{false, true} {
		t.Run(fmt.Sprint("it still reaches others: ", inboundOnly), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 11, func(b *testbed) {
				local, remote := b.startRunningJob("host-0", "a", job.Array), b.startRunningJob("host-0", "b", job.Gang)
				b.stateClient("host-0").SetRefuseAll(true)
				if inboundOnly {
					b.network.setInboundLost("host-0", true)
				} else {
					b.network.setPartitioned("host-0", true)
				}
				for _, s := range []job.Spec{local, remote} {
					if !b.cancel("host-1", s.ID) {
						b.t.Fatal("the cancellation is not acknowledged")
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
							b.t.Fatalf("a question about %s was not answered at once", id)
						}
						answered++
					}
					b.submitOnce("host-0", late.ID, submissionOf(late))
				}
				b.stateClient("host-0").SetRefuseAll(false)
				b.network.setPartitioned("host-0", false)
				b.network.setInboundLost("host-0", false)
				time.Sleep(30 * time.Second)
				b.t.Logf("%d answers by the partitioned one; tasks stayed for %v", answered, b.history.TimesToStopAfterCancel())
				b.checkNoViolations()
			})
		})
	}
}

// A zone with its workers and a controller is partitioned from everything else for longer than
// a lease: work goes on there, nothing of it starts elsewhere, and what is cancelled outside
// meanwhile is gone in time.
func TestZonePartitionedWithItsController(t *testing.T) {
	for _, duration := range []time.Duration{20 * time.Second, 45 * time.Second, 2 * time.Minute} {
		t.Run(duration.String(), func(t *testing.T) {
			t.Parallel()
			// Machines boot for so long that unresponsive ones are waited for, and not returned,
			runScenarioWithBootTime(t, 101, 40, func(b *testbed) {
				running, cancelled := inZone("b", arrayJob(b.nextJobID(), 2)), inZone("b", arrayJob(b.nextJobID(), 2))
				// And so many that they are not returned at once as few that do not answer.
				for _, s := range []job.Spec{running, cancelled, inZone("b", arrayJob(b.nextJobID(), 4)), inZone("b", arrayJob(b.nextJobID(), 4))} {
					if !b.submit("host-0", s, 4*time.Minute) {
						b.t.Fatal("not accepted")
					}
				}
				b.waitUntil("they run", 3*time.Minute, func() bool {
					return b.history.TasksOnMachines(running.ID) == 2 && b.history.TasksOnMachines(cancelled.ID) == 2
				})
				time.Sleep(10 * time.Second)
				if h := b.ownerOf(b.history.MachineOfFirstTask(running.ID)); h != "host-1" {
					b.t.Fatalf("the owner is %s: this shows nothing", h)
				}
				setPartitioned := func(on bool) {
					b.network.setPartitioned("host-1", on)
					b.stateClient("host-1").SetRefuseAll(on)
					b.setUnreachableByUsers("host-1", on)
					b.forEachMachine(func(m *emulator.SimulatedMachine) {
						switch {
						case m.Zone() != "b":
							m.UnreachableFrom = map[bool]string{true: "host-1"}[on]
						case on:
							m.OnlyController = "host-1"
						default:
							m.OnlyController = ""
						}
					})
				}
				setPartitioned(true)
				if !b.cancel("host-2", cancelled.ID) {
					b.t.Fatal("the cancellation is not acknowledged")
				}
				if b.history.TasksOnMachines(cancelled.ID) == 0 {
					b.t.Error("nothing was on machines: this shows nothing")
				}
				go b.submit("host-2", inZone("b", arrayJob(b.nextJobID(), 1)), 10*time.Second)
				time.Sleep(duration)
				if n := b.history.TasksOnMachines(running.ID); n == 0 && duration < 25*time.Second {
					b.t.Errorf("%d tasks run on in the zone", n)
				}
				setPartitioned(false)
				b.history.RecordFaultsEnded()
				time.Sleep(8 * time.Minute)
				b.t.Logf("tasks stayed for %v", b.history.TimesToStopAfterCancel())
				b.history.CheckFinalState()
				b.checkNoViolations()
			})
		})
	}
}

// A job's scheduler and the owner of its machines do not reach each other, and its user cancels
// it: nobody but the owner itself can have its tasks stopped.
func TestSchedulerPartitionedFromOwner(t *testing.T) {
	for _, shape := range []string{job.Array, job.Gang, job.Service} {
		t.Run(shape, func(t *testing.T) {
			runScenario(t, 3, func(b *testbed) {
				s := b.startRunningJob("host-0", "b", shape)
				b.network.setPartitioned("host-1", true)
				if !b.cancel("host-2", s.ID) {
					b.t.Fatal("the cancellation is not acknowledged")
				}
				time.Sleep(workers.CancellationDeadline + 10*time.Second)
				b.network.setPartitioned("host-1", false)
				time.Sleep(30 * time.Second)
				b.t.Logf("tasks stayed for %v", b.history.TimesToStopAfterCancel())
				b.checkNoViolations()
			})
		})
	}
}
