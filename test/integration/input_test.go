package integration

import (
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// Reports list tasks of a job that nobody submitted, and of ids that are no job's. The first
// are stopped and forgotten, for they have no open record; the others are left alone. Both
// kinds leave their machines fit to serve.
func TestTasksThatNobodySubmitted(t *testing.T) {
	story(t, 31, func(w *world) {
		w.running("host-0", "a", job.Array)
		w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
			u.PlantTask("wk-777777/0", 3)
			u.PlantTask("nobody's", 1)
			u.PlantTask("wk-000001/99999999999999999999", 1)
		})
		left := func(task string) (n int) {
			w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
				if u.ListsTask(task) {
					n++
				}
			})
			return n
		}
		time.Sleep(20 * time.Second)
		if n := left("wk-777777/0"); n > 0 {
			w.t.Errorf("%d machines have the task of a job that nobody submitted", n)
		}
		if left("nobody's") == 0 {
			w.t.Error("a task that is no job's was touched")
		}
		s := in("a", array(w.id(), 6))
		if !w.submit("", s, 10*time.Second) {
			w.t.Fatal("not accepted")
		}
		w.cancel("", "wk-000001")
		time.Sleep(2 * time.Minute)
		w.history.CheckFinalState()
		w.check()
	})
}
