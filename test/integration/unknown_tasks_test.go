package integration

import (
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// Heartbeats list tasks of a job that was never submitted, and tasks with malformed IDs. The former
// have no open job record and must be stopped; the latter must be left alone. Neither may keep the
// machines from running other tasks.
func TestTasksOfUnknownJobsAreStopped(t *testing.T) {
	runScenario(t, 31, func(b *testbed) {
		b.startRunningJob("host-0", "a", job.Array)
		b.forEachMachine(func(m *emulator.SimulatedMachine) {
			m.InjectTask("wk-777777/0", 3)
			m.InjectTask("nobody's", 1)
			m.InjectTask("wk-000001/99999999999999999999", 1)
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
			b.t.Errorf("%d machines still list the task of a job that was never submitted, want 0", n)
		}
		if left("nobody's") == 0 {
			b.t.Error("a task with a malformed ID was stopped")
		}
		s := inZone("a", arrayJob(b.nextJobID(), 6))
		if !b.submit("", s, 10*time.Second) {
			b.t.Fatal("the job was not accepted")
		}
		b.cancel("", "wk-000001")
		time.Sleep(2 * time.Minute)
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}
