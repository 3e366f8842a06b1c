package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// owners are the shards' holders, with the revisions of their keys.
func (w *world) owners() string {
	out := ""
	for _, kv := range w.state.ListAll(statekv.MachineShardPrefix) {
		out += fmt.Sprint(kv.Key, " ", kv.Rev, " ", w.holder(kv.Key), "; ")
	}
	return out
}

// An outage of the state service lasts for longer than owners may answer their workers, so
// that these go from one controller to the next. That says nothing about who reaches whom:
// afterwards every shard is still its owner's. On a fleet all shards were swapped between
// two living owners, and each machine had to be asked what runs there once more.
func TestOutageMovesNoShards(t *testing.T) {
	story(t, 18, func(w *world) {
		for k, h := range w.hosts {
			for range 4 {
				go w.submit(h, in(zones[k], array(w.id(), 2)), 10*time.Minute)
			}
		}
		time.Sleep(40 * time.Second)
		before := strings.Split(w.owners(), "; ")
		w.state.SetOutage(true, false)
		time.Sleep(80 * time.Second)
		w.state.SetOutage(false, false)
		time.Sleep(10 * time.Second)
		after := w.owners()
		for _, shard := range before {
			if !strings.Contains(after, shard) {
				w.t.Errorf("%s is not any more: %s", shard, after)
			}
		}
		w.check()
	})
}

// The state service is down for all for longer than owners may answer by their own view. All
// controllers reach each other and say that they told nobody of anything later, so no
// machine loses its tasks.
func TestLongOutageThatAllMeetCostsNoTask(t *testing.T) {
	story(t, 19, func(w *world) {
		var ids []string
		for k, h := range w.hosts {
			s := in(zones[k], array(w.id(), 2))
			ids = append(ids, s.ID)
			go w.submit(h, s, 4*time.Minute)
		}
		time.Sleep(30 * time.Second)
		for range 2 {
			w.state.SetOutage(true, false)
			time.Sleep(workers.CancellationDeadline + 40*time.Second)
			for _, id := range ids {
				if w.history.TasksOnMachines(id) != 2 {
					w.t.Errorf("%d tasks of %s are on machines after the outage", w.history.TasksOnMachines(id), id)
				}
			}
			w.state.SetOutage(false, false)
			time.Sleep(10 * time.Second)
		}
		time.Sleep(2 * time.Minute)
		if n := w.history.TaskStarts(); n != 6 {
			w.t.Errorf("six tasks were started %d times", n)
		}
		w.history.CheckFinalState()
		w.check()
	})
}

// The same where one of them cannot be asked, has ended, or is back without a life: it may
// have told a user anything, so owners fall silent when their hold time is over, and what
// was cancelled is gone in time. In the last case the controller that told has it by its own
// write only, and no watch has shown it to any when the outage begins.
func TestLongOutageInWhichOneMayHaveTold(t *testing.T) {
	for name, one := range map[string]func(w *world){
		"cut from peers":       func(w *world) { w.hub.set("host-2", true) },
		"ended":                func(w *world) { w.crash("host-2") },
		"back without a life":  func(w *world) { w.crash("host-2"); time.Sleep(200 * time.Millisecond); w.start("host-2") },
		"not shown by watches": func(w *world) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			story(t, 20, func(w *world) {
				s := w.running("host-0", "a", job.Array)
				for _, h := range w.hosts {
					w.port(h).SetWatchLag(5 * time.Second)
				}
				time.Sleep(7 * time.Second)
				if !w.cancelSoon("host-2", s.ID) {
					w.t.Fatal("not told as cancelled")
				}
				w.state.SetOutage(true, false)
				one(w)
				time.Sleep(workers.CancellationDeadline + 40*time.Second)
				w.t.Logf("tasks stayed for %v", w.history.TimesToStopAfterCancel())
				w.check()
				w.state.SetOutage(false, false)
				w.hub.set("host-2", false)
				for _, h := range w.hosts {
					w.port(h).SetWatchLag(0)
				}
				time.Sleep(20 * time.Second)
				w.check()
			})
		})
	}
}

// cancelSoon is cancel that returns the moment the user is told.
func (w *world) cancelSoon(host, id string) bool {
	w.history.RecordCancelRequest(id)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		asked := w.history.StampRequest()
		code, status := w.call(host, "POST", "/submissions/"+id+"/abort", nil, 5*time.Second)
		w.history.RecordResponse("cancel", id, asked, code, status)
		if code == 200 {
			return status == job.Cancelled
		}
	}
	return false
}

// An owner's lease is not renewed, while its watches are served: it sees that others have
// taken its shards, and all tell it that they have told nothing later. Commands of the new
// owners do not reach the machines. It must not keep their leases alive, for its successors
// count on it to fall silent and start the tasks elsewhere.
func TestOwnerThatSeesItsSuccessorsFallsSilent(t *testing.T) {
	storyWithBoots(t, 23, 40, func(w *world) { // longer than silent machines are waited for
		s := in("a", array(w.id(), 10))
		if !w.submit("host-1", s, 10*time.Minute) {
			w.t.Fatal("not accepted")
		}
		w.until("it runs", 3*time.Minute, func() bool { return w.history.TasksOnMachines(s.ID) == 10 })
		w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.CommandsLost = true })
		w.port("host-0").SetRefuseRenewals(true)
		time.Sleep(3 * time.Minute)
		w.port("host-0").SetRefuseRenewals(false)
		w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.CommandsLost = false })
		time.Sleep(15 * time.Minute)
		w.history.CheckFinalState()
		w.check()
	})
}
