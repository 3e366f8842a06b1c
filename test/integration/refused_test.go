package integration

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// A calm day: jobs of all shapes come to their ends, and a cancelled one is gone at once.
func TestCalm(t *testing.T) {
	story(t, 1, func(w *world) {
		for _, s := range []job.Spec{array(w.id(), 3), shaped(job.Gang, array(w.id(), 2)), in("b", array(w.id(), 2))} {
			if !w.submit("", s, 20*time.Second) {
				w.t.Fatal("not accepted")
			}
		}
		long := array(w.id(), 2)
		w.submit("host-0", long, time.Hour)
		w.until("it runs", time.Minute, func() bool { return w.history.TasksOnMachines(long.ID) == 2 })
		if !w.cancel("host-1", long.ID) {
			w.t.Fatal("not cancelled")
		}
		time.Sleep(5 * time.Second)
		if n := w.history.TasksOnMachines(long.ID); n > 0 {
			w.t.Errorf("%d tasks of the cancelled job stayed for 5 s", n)
		}
		time.Sleep(85 * time.Second)
		w.history.CheckFinalState()
		w.check()
	})
}

// refusal is who is what when the state service refuses a controller alone.
type refusal struct{ placer, zone, refused string }

var refusals = map[string]refusal{
	"placer and owner refused": {"host-0", "a", "host-0"},
	"placer refused":           {"host-0", "b", "host-0"},
	"owner refused":            {"host-1", "a", "host-0"},
}

// gaps are the times from the confirmation to the outage: before the refused one's roles
// can be taken, about when they are, and afterwards. A state lease is 4 s.
var gaps = []time.Duration{100 * time.Millisecond, 2800 * time.Millisecond, 3300 * time.Millisecond, 4300 * time.Millisecond, 5 * time.Second}

// running submits a job of one zone and waits until its tasks are on machines.
func (w *world) running(placer, zone, shape string) job.Spec {
	w.t.Helper()
	s := shaped(shape, in(zone, array(w.id(), 2)))
	if !w.submit(placer, s, time.Hour) {
		w.t.Fatal("not accepted")
	}
	w.until("it runs", time.Minute, func() bool { return w.history.TasksOnMachines(s.ID) == 2 })
	time.Sleep(5 * time.Second)
	return s
}

// refusedThenDown plays the meeting: the state service refuses one controller alone,
// another tells the user that the job is cancelled, and then the service is down for all for
// longer than the cancellation time, while the workers keep reporting.
func (w *world) refusedThenDown(c refusal, shape string, gap time.Duration, before, twist func()) {
	w.t.Helper()
	s := w.running(c.placer, c.zone, shape)
	next := array(w.id(), 1)
	next.WaitsOn = []string{s.ID}
	waits := shape != job.Service && w.submit("host-2", next, time.Hour)
	if before != nil {
		before()
	}
	w.port(c.refused).SetRefuseAll(true)
	on := w.history.TasksOnMachines(s.ID)
	if on == 0 {
		w.t.Fatal("nothing was on machines: this shows nothing")
	}
	if !w.cancel("host-2", s.ID) {
		w.t.Fatal("not told as cancelled")
	}
	if twist != nil {
		go twist()
	}
	time.Sleep(gap)
	w.state.SetOutage(true, false)
	time.Sleep(workers.CancellationDeadline + 40*time.Second)
	w.state.SetOutage(false, false)
	w.port(c.refused).SetRefuseAll(false)
	time.Sleep(40 * time.Second)
	w.t.Logf("%d tasks on machines when told; they stayed for %v", on, w.history.TimesToStopAfterCancel())
	if code, status := w.call("host-2", "GET", "/submissions/"+next.ID, nil, 2*time.Second); waits && status != job.Cancelled {
		w.t.Errorf("orphaned: the job after it is told as %d %s", code, status)
	}
	w.check()
}

// The meeting before all others, for each part that the refused controller may have.
func TestRefusedAloneThenDownForAll(t *testing.T) {
	for name, c := range refusals {
		for _, gap := range gaps {
			t.Run(fmt.Sprint(name, " ", gap), func(t *testing.T) {
				t.Parallel()
				story(t, 2, func(w *world) { w.refusedThenDown(c, job.Array, gap, nil, nil) })
			})
		}
	}
}

// The same with gangs, services and pipelines, and with one trouble more in the midst.
func TestRefusedAloneWithOneTroubleMore(t *testing.T) {
	hang := func(w *world, for_ time.Duration) func() {
		return func() {
			time.Sleep(50 * time.Millisecond)
			w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.Hung = true })
			time.Sleep(for_)
			w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.Hung = false })
		}
	}
	twists := map[string]func(w *world, c refusal) (before, twist func()){
		"nothing more":          func(*world, refusal) (func(), func()) { return nil, nil },
		"workers hang for 10 s": func(w *world, _ refusal) (func(), func()) { return nil, hang(w, 10*time.Second) },
		"workers hang for long": func(w *world, _ refusal) (func(), func()) { return nil, hang(w, 70*time.Second) },
		"the refused one starts": func(w *world, c refusal) (func(), func()) {
			return nil, func() { w.crash(c.refused); time.Sleep(300 * time.Millisecond); w.start(c.refused) }
		},
		"the refused one ends": func(w *world, c refusal) (func(), func()) { return nil, func() { w.crash(c.refused) } },
		"peers refuse": func(w *world, c refusal) (func(), func()) {
			return func() { w.hub.set(c.refused, true) }, func() { time.Sleep(80 * time.Second); w.hub.set(c.refused, false) }
		},
		"commands are lost": func(w *world, _ refusal) (func(), func()) {
			return func() { w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.CommandsLost = true }) }, nil
		},
	}
	for name, c := range refusals {
		for twist, make := range twists {
			for k, shape := range []string{job.Array, job.Gang, job.Service} {
				t.Run(fmt.Sprint(name, " ", twist, " ", shape), func(t *testing.T) {
					t.Parallel()
					story(t, 4, func(w *world) {
						before, more := make(w, c)
						w.refusedThenDown(c, shape, gaps[(k+len(twist))%len(gaps)], before, more)
					})
				})
			}
		}
	}
}

// A gang is saving, told so to make room, when its user cancels it: it is ended without the
// time to save.
func TestSavingGangIsCancelled(t *testing.T) {
	story(t, 5, func(w *world) {
		s := w.running("host-0", "b", job.Gang)
		w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.StartCheckpoints(time.Minute) })
		if !w.cancel("host-2", s.ID) {
			w.t.Fatal("not told as cancelled")
		}
		time.Sleep(5 * time.Second)
		if n := w.history.TasksOnMachines(s.ID); n > 0 {
			w.t.Errorf("%d of its tasks save on", n)
		}
		w.check()
	})
}

// A job's placer and the owner of its machines do not reach each other, and its user cancels
// it: nobody but the owner itself can have its tasks stopped.
func TestPlacerDoesNotReachOwner(t *testing.T) {
	for _, shape := range []string{job.Array, job.Gang, job.Service} {
		t.Run(shape, func(t *testing.T) {
			story(t, 3, func(w *world) {
				s := w.running("host-0", "b", shape)
				w.hub.set("host-1", true)
				if !w.cancel("host-2", s.ID) {
					w.t.Fatal("not told as cancelled")
				}
				time.Sleep(workers.CancellationDeadline + 10*time.Second)
				w.hub.set("host-1", false)
				time.Sleep(30 * time.Second)
				w.t.Logf("tasks stayed for %v", w.history.TimesToStopAfterCancel())
				w.check()
			})
		})
	}
}

// An owner learns of a job only after it was over: it takes the shards of one that has
// ended, and from that moment on the state service is down, so that nobody tells it whether
// what runs there goes on.
func TestNewOwnerCannotAskWhetherAJobGoesOn(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			story(t, 6, func(w *world) {
				s := w.running("host-0", "a", job.Array)
				w.crash("host-0")
				if !w.cancel("host-2", s.ID) {
					w.t.Fatal("not told as cancelled")
				}
				for end := time.Now().Add(20 * time.Second); w.holds("host-0"); time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						w.t.Fatal("its shards were not taken")
					}
				}
				time.Sleep(after)
				w.state.SetOutage(true, false)
				time.Sleep(workers.CancellationDeadline + 40*time.Second)
				w.state.SetOutage(false, false)
				time.Sleep(20 * time.Second)
				w.t.Logf("tasks stayed for %v", w.history.TimesToStopAfterCancel())
				w.check()
			})
		})
	}
}

// holds reports whether a controller has shards.
func (w *world) holds(host string) bool {
	for _, kv := range w.state.ListAll(statekv.MachineShardPrefix) {
		var h statekv.Holder
		if json.Unmarshal(kv.Value, &h) == nil && h.Host == host {
			return true
		}
	}
	return false
}
