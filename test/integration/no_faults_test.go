package integration

import (
	"testing"
	"time"

	"robinstack/internal/job"
)

// Without faults, jobs of all shapes must finish, and the tasks of a cancelled job must stop at
// once.
func TestNoFaults(t *testing.T) {
	runScenario(t, 1, func(b *testbed) {
		for _, s := range []job.Spec{
			arrayJob(b.nextJobID(), 3),
			withShape(job.Gang, arrayJob(b.nextJobID(), 2)),
			inZone("b", arrayJob(b.nextJobID(), 2)),
		} {
			if !b.submit("", s, 20*time.Second) {
				b.t.Fatal("the job was not accepted")
			}
		}
		long := arrayJob(b.nextJobID(), 2)
		b.submit("host-0", long, time.Hour)
		b.waitUntil("the tasks are running", time.Minute, func() bool {
			return b.history.TasksOnMachines(long.ID) == 2
		})
		if !b.cancel("host-1", long.ID) {
			b.t.Fatal("the cancellation was not acknowledged")
		}
		time.Sleep(5 * time.Second)
		if n := b.history.TasksOnMachines(long.ID); n > 0 {
			b.t.Errorf("%d tasks are on machines 5 s after the cancellation, want 0", n)
		}
		time.Sleep(85 * time.Second)
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}
