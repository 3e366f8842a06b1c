package integration

import (
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// Heartbeats list tasks of a job that nobody submitted, and of ids that are no job's. The first
// are stopped and forgotten, for they have no open record; the others are left alone. Both
// kinds leave their machines fit to serve.
func TestTasksOfUnknownJobsAreStopped(t *testing.T) {
	runScenario(t, 31, func(b *testbed) {
		b.startRunningJob("host-0", "a", job.Array)
		b.forEachMachine(func(m *emulator.SimulatedMachine) {
			m.PlantTask("wk-777777/0", 3)
			m.PlantTask("nobody's", 1)
			m.PlantTask("wk-000001/99999999999999999999", 1)
		})
		left := func(task string) (n int) {
			b.forEachMachine(func(m *emulator.SimulatedMachine) {
				if m.ListsTask(task) {
					n++
				}
			})
			return n
		}
		time.Sleep(20 * time.Second)
		if n := left("wk-777777/0"); n > 0 {
			b.t.Errorf("%d machines have the task of a job that nobody submitted", n)
		}
		if left("nobody's") == 0 {
			b.t.Error("a task that is no job's was touched")
		}
		s := inZone("a", arrayJob(b.nextJobID(), 6))
		if !b.submit("", s, 10*time.Second) {
			b.t.Fatal("not accepted")
		}
		b.cancel("", "wk-000001")
		time.Sleep(2 * time.Minute)
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}
