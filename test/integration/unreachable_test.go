package integration

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// The reports of machines reach nobody, while commands are carried out. Their leases run out
// all the same: nothing is taken for renewed by an answered command, what ran is given up on
// proof, and nothing new is placed where it would be killed again and again.
func TestMuteMachines(t *testing.T) {
	for _, role := range append([]string{"nobody"}, leaders...) {
		t.Run("ends: "+role, func(t *testing.T) {
			t.Parallel()
			story(t, 81, func(w *world) {
				long := in("a", array(w.id(), 2))
				if !w.submit("host-0", long, 50*time.Second) {
					w.t.Fatal("not accepted")
				}
				w.until("it runs", time.Minute, func() bool { return w.history.TasksOnMachines(long.ID) == 2 })
				time.Sleep(5 * time.Second)
				var mute []*emulator.SimulatedMachine
				w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
					u.HeartbeatsLost = true
					mute = append(mute, u)
				})
				session, carried := mute[0].WorkerEpoch(), mute[0].CommandsExecuted
				if role != "nobody" {
					w.end(w.leading(role, long.ID), 400*time.Millisecond)
				}
				time.Sleep(workers.LeaseDuration*2/3 + 5*time.Second)
				starts := w.history.TaskStarts()
				var more []job.Spec
				for range 4 {
					s := array(w.id(), 2)
					more = append(more, s)
					go w.submit("", s, 40*time.Second)
					time.Sleep(2 * time.Second)
				}
				time.Sleep(2 * time.Minute)
				for _, s := range more {
					for k := range s.Tasks {
						if !w.history.TaskCompleted(job.TaskID(s.ID, k)) {
							w.t.Errorf("%s/%d is not done while machines are mute", s.ID, k)
						}
					}
				}
				// Eight tasks, and the two of the long one once or twice more.
				if n := w.history.TaskStarts() - starts; n > 12 {
					w.t.Errorf("%d starts for eight tasks: they are placed where they are killed", n)
				}
				w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
					if u == mute[0] && (u.WorkerEpoch() == session || u.CommandsExecuted == carried) {
						w.t.Errorf("session %d, %d commands carried out: this shows nothing", u.WorkerEpoch(), u.CommandsExecuted)
					}
					u.HeartbeatsLost = false
				})
				w.history.RecordFaultsEnded()
				time.Sleep(4 * time.Minute)
				w.history.CheckFinalState()
				w.check()
			})
		})
	}
}

// Machines hang from the moment at which their jobs are cancelled: for less than a lease, for
// more, for good. What they ran is gone in time, by their lease, by the kill that they find
// when they go on, or by their return; also where the owner ends, or is refused.
func TestCancelledTasksOnMachinesThatHang(t *testing.T) {
	for _, hang := range []time.Duration{10 * time.Second, 28 * time.Second, 40 * time.Second, 10 * time.Minute} {
		for name, trouble := range map[string]func(w *world, id string) func(){
			"nothing more":    func(*world, string) func() { return func() {} },
			"the owner ends":  func(w *world, id string) func() { return w.end(w.leading("owner", id), 300*time.Millisecond) },
			"the owner goes":  func(w *world, id string) func() { return w.end(w.leading("owner", id), never) },
			"the placer goes": func(w *world, id string) func() { return w.end(w.leading("placer", id), never) },
			"all end":         func(w *world, id string) func() { return w.end(w.hosts, time.Second) },
			"the owner is refused": func(w *world, id string) func() {
				h := w.leading("owner", id)[0]
				w.port(h).SetRefuseAll(true)
				return func() { w.port(h).SetRefuseAll(false) }
			},
		} {
			t.Run(fmt.Sprint("for ", hang, ", ", name), func(t *testing.T) {
				t.Parallel()
				story(t, 82, func(w *world) {
					array, gang := w.running("host-1", "a", job.Array), w.running("host-1", "b", job.Gang)
					told := make(chan bool, 2)
					for _, s := range []job.Spec{array, gang} {
						go func() { told <- w.cancel("host-2", s.ID) }()
					}
					w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.Hung = true })
					bring := trouble(w, array.ID)
					for range cap(told) {
						if !<-told {
							w.t.Fatal("not told as cancelled")
						}
					}
					if w.history.TasksOnMachines(array.ID)+w.history.TasksOnMachines(gang.ID) == 0 {
						w.t.Fatal("nothing was on machines: this shows nothing")
					}
					time.Sleep(hang)
					w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.Hung = false })
					bring()
					time.Sleep(workers.CancellationDeadline + 10*time.Second)
					w.t.Logf("tasks stayed for %v", w.history.TimesToStopAfterCancel())
					w.check()
				})
			})
		}
	}
}
