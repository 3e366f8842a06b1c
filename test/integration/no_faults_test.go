package integration

import (
	"testing"
	"time"

	"robinstack/internal/job"
)

// Without faults, jobs of all shapes come to their ends, and a cancelled one is gone at once.
func TestNoFaults(t *testing.T) {
	runScenario(t, 1, func(b *testbed) {
		for _, s := range []job.Spec{arrayJob(b.nextJobID(), 3), withShape(job.Gang, arrayJob(b.nextJobID(), 2)), inZone("b", arrayJob(b.nextJobID(), 2))} {
			if !b.submit("", s, 20*time.Second) {
				b.t.Fatal("not accepted")
			}
		}
		long := arrayJob(b.nextJobID(), 2)
		b.submit("host-0", long, time.Hour)
		b.waitUntil("it runs", time.Minute, func() bool { return b.history.TasksOnMachines(long.ID) == 2 })
		if !b.cancel("host-1", long.ID) {
			b.t.Fatal("not cancelled")
		}
		time.Sleep(5 * time.Second)
		if n := b.history.TasksOnMachines(long.ID); n > 0 {
			b.t.Errorf("%d tasks of the cancelled job stayed for 5 s", n)
		}
		time.Sleep(85 * time.Second)
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}
