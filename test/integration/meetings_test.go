package integration

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// Meeting 1. A controller is cut from the state service and the others, not from its workers
// and users; jobs are cancelled through another. Users who ask the cut one get no older
// answer, and what it placed is gone in time.
func TestCutFromStateAndPeersWhileJobsAreCancelled(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		t.Run(fmt.Sprint("it still reaches others: ", oneWay), func(t *testing.T) {
			t.Parallel()
			story(t, 11, func(w *world) {
				own, foreign := w.running("host-0", "a", job.Array), w.running("host-0", "b", job.Gang)
				w.port("host-0").SetRefuseAll(true)
				if oneWay {
					w.hub.silence("host-0", true)
				} else {
					w.hub.set("host-0", true)
				}
				for _, s := range []job.Spec{own, foreign} {
					if !w.cancel("host-1", s.ID) {
						w.t.Fatal("not told as cancelled")
					}
				}
				late := array(w.id(), 1)
				w.history.RecordSubmission(late)
				answered := 0
				for range 90 {
					time.Sleep(time.Second)
					for _, id := range []string{own.ID, foreign.ID, "wk-999999"} {
						asked := w.history.StampRequest()
						code, status := w.call("host-0", "GET", "/submissions/"+id, nil, 2*time.Second)
						w.history.RecordResponse("query", id, asked, code, status)
						if code == 0 {
							w.t.Fatalf("a question about %s was not answered at once", id)
						}
						answered++
					}
					asked := w.history.StampRequest()
					code, status := w.call("host-0", "POST", "/submissions", wireSpec(late), 5*time.Second)
					w.history.RecordResponse("submit", late.ID, asked, code, status)
				}
				w.port("host-0").SetRefuseAll(false)
				w.hub.set("host-0", false)
				w.hub.silence("host-0", false)
				time.Sleep(30 * time.Second)
				w.t.Logf("%d answers by the cut one; tasks stayed for %v", answered, w.history.TimesToStopAfterCancel())
				w.check()
			})
		})
	}
}

// Meeting 2. A controller ends while machines with long tasks cannot be reached, or do not
// hear what its successor answers. Nothing starts elsewhere before it is proven gone, and
// machines that are back within their lease lose nothing.
func TestOwnerEndsWhileMachinesCannotBeReached(t *testing.T) {
	for name, set := range map[string]func(u *emulator.SimulatedMachine, on bool){
		"hear nothing":      func(u *emulator.SimulatedMachine, on bool) { u.InboundLost = on },
		"commands are lost": func(u *emulator.SimulatedMachine, on bool) { u.CommandsLost = on },
		"hang":              func(u *emulator.SimulatedMachine, on bool) { u.Hung = on },
	} {
		for _, away := range []time.Duration{15 * time.Second, 45 * time.Second} {
			for _, back := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " for ", away, ", the owner is back at once: ", back), func(t *testing.T) {
					t.Parallel()
					story(t, 12, func(w *world) {
						a, g := in("a", array(w.id(), 2)), in("a", shaped(job.Gang, array(w.id(), 2)))
						for _, s := range []job.Spec{a, g} {
							if !w.submit("host-0", s, 3*time.Minute) {
								w.t.Fatal("not accepted")
							}
						}
						w.until("they run", time.Minute, func() bool { return w.history.TasksOnMachines(a.ID) == 2 && w.history.TasksOnMachines(g.ID) == 2 })
						time.Sleep(10 * time.Second)
						before := w.history.TaskStarts()
						w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { set(u, true) })
						w.crash("host-0")
						if back {
							time.Sleep(200 * time.Millisecond)
							w.start("host-0")
						}
						time.Sleep(away)
						w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { set(u, false) })
						if !back {
							w.start("host-0")
						}
						time.Sleep(8 * time.Minute)
						// The steward returns a few machines that leave their new owner
						// unanswered: that proves soonest what runs there.
						again := w.history.TaskStarts() - before - w.fleet.TasksLostToScaleIn()
						if again > 0 && (away < workers.LeaseDuration || name == "commands are lost") {
							w.t.Errorf("%d tasks were started again although their machines were back in time", again)
						}
						w.t.Logf("%d tasks were on machines that were returned", w.fleet.TasksLostToScaleIn())
						w.history.CheckFinalState()
						w.check()
					})
				})
			}
		}
	}
}

// Meeting 3. Commands, or the answers to reports, are held up for longer than anyone waits,
// and carried out then; meanwhile the owner changes, or the machine's lease ends.
func TestHeldUpCommandsAcrossAChange(t *testing.T) {
	for name, change := range map[string]func(w *world){
		"token": func(*world) {},
		"owner": func(w *world) { w.crash("host-0"); time.Sleep(10 * time.Second); w.start("host-0") },
		"life":  func(w *world) { w.crash("host-0"); time.Sleep(200 * time.Millisecond); w.start("host-0") },
		"session": func(w *world) {
			w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.InboundLost = true })
			time.Sleep(35 * time.Second)
			w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.InboundLost = false })
		},
	} {
		for _, hold := range []time.Duration{2500 * time.Millisecond, 6 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprint(name, " ", hold), func(t *testing.T) {
				t.Parallel()
				story(t, 13, func(w *world) {
					w.running("host-0", "a", job.Array) // machines are up
					w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
						u.CommandDelay, u.AnswerDelay = hold, min(hold, 3*time.Second)
					})
					var ids []string
					for k := range 6 {
						s := in("a", array(w.id(), 1+k%2))
						if k%3 == 2 {
							s = shaped(job.Gang, s)
						}
						ids = append(ids, s.ID)
						go w.submit("", s, 2*time.Second)
						time.Sleep(time.Second)
					}
					change(w)
					go w.cancel("", ids[0])
					time.Sleep(25 * time.Second)
					w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.CommandDelay, u.AnswerDelay = 0, 0 })
					w.cancel("", "wk-000001")
					time.Sleep(6 * time.Minute)
					w.history.CheckFinalState()
					w.check()
				})
			})
		}
	}
}

// Meeting 4. Jobs of two or three tasks that end far apart, while their placer changes right
// after one has ended, before that is in the job's record, or when the last ends and nobody
// is its placer.
func TestTasksEndFarApartAcrossAChangeOfPlacer(t *testing.T) {
	for _, after := range []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond, 3 * time.Second} {
		for _, back := range []time.Duration{200 * time.Millisecond, 20 * time.Second} {
			t.Run(fmt.Sprint(after, " after an end, back after ", back), func(t *testing.T) {
				t.Parallel()
				story(t, 14, func(w *world) {
					s := in("b", array(w.id(), 3))
					if !w.submitApart("host-0", s, 15*time.Second, 25*time.Second) {
						w.t.Fatal("not accepted")
					}
					w.until("it runs", time.Minute, func() bool { return w.history.TasksOnMachines(s.ID) == 3 })
					for left := 2; left >= 0; left-- {
						w.until("a task ends", time.Minute, func() bool { return w.history.TasksOnMachines(s.ID) == left })
						time.Sleep(after)
						host := w.placerOf(s.ID)
						w.crash(host)
						time.Sleep(back)
						w.start(host)
						if back > 10*time.Second {
							left = min(left, w.history.TasksOnMachines(s.ID))
						}
					}
					time.Sleep(2 * time.Minute)
					if n := w.history.TaskStarts(); n != 3 {
						w.t.Errorf("three tasks were started %d times", n)
					}
					w.history.CheckFinalState()
					w.check()
				})
			})
		}
	}
}

// placerOf is the host that has a job's slot, or one that is up.
func (w *world) placerOf(id string) string {
	for _, kv := range w.state.ListAll(job.RecordKey(id)) {
		if rec, err := job.ParseRecord(kv.Value); err == nil && kv.Key == job.RecordKey(id) {
			if h := w.holder(statekv.JobShardPrefix + rec.JobShard); h != "" {
				return h
			}
		}
	}
	return "host-0"
}

// Meeting 6. All controllers end, and one returns within a second, the others later, again
// and again, while some transactions are carried out late.
func TestControllersHandOverAndBack(t *testing.T) {
	for _, late := range []float64{0, 0.4} {
		for _, first := range []time.Duration{100 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprint("late ", late, ", one back after ", first), func(t *testing.T) {
				t.Parallel()
				story(t, 15, func(w *world) {
					for k := range 6 {
						go w.submitApart("", array(w.id(), 1+k%3), 10*time.Second, 30*time.Second)
					}
					time.Sleep(15 * time.Second)
					for round := range 4 {
						for _, h := range w.hosts {
							w.port(h).SetFaults(0, late)
							w.crash(h)
						}
						time.Sleep(first)
						w.start(w.hosts[round%3])
						time.Sleep(time.Duration(round) * 3 * time.Second)
						w.start(w.hosts[(round+1)%3])
						w.start(w.hosts[(round+2)%3])
						go w.submit("", array(w.id(), 2), 20*time.Second)
						time.Sleep(10 * time.Second)
					}
					for _, h := range w.hosts {
						w.port(h).SetFaults(0, 0)
					}
					w.history.RecordFaultsEnded()
					time.Sleep(6 * time.Minute)
					w.history.CheckFinalState()
					w.check()
				})
			})
		}
	}
}

// Meeting 7. The state service answers slowly, refuses one alone, then is down for all for
// longer than the cancellation time, while users submit, cancel and ask: no older answer,
// and every question is answered again soon after it.
func TestSlowThenRefusedThenDownWhileUsersAsk(t *testing.T) {
	for _, slow := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 1900 * time.Millisecond} {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			t.Parallel()
			story(t, 16, func(w *world) {
				var ids []string
				for k := range 9 {
					s := array(w.id(), 1+k%2)
					ids = append(ids, s.ID)
					go w.submit("", s, time.Duration(20+20*k)*time.Second)
				}
				time.Sleep(20 * time.Second)
				for _, h := range w.hosts {
					w.port(h).SetFaults(slow, 0)
				}
				go w.cancel("", ids[0])
				time.Sleep(15 * time.Second)
				w.port("host-0").SetRefuseAll(true)
				go w.cancel("", ids[1])
				time.Sleep(3 * time.Second)
				w.state.SetOutage(true, false)
				go w.cancel("", ids[2])
				time.Sleep(workers.CancellationDeadline + 20*time.Second)
				w.state.SetOutage(false, false)
				w.port("host-0").SetRefuseAll(false)
				for _, h := range w.hosts {
					w.port(h).SetFaults(0, 0)
				}
				w.history.RecordFaultsEnded()
				time.Sleep(30 * time.Second)
				if id := w.history.UnansweredJob(30 * time.Second); id != "" {
					w.t.Errorf("no question about %s has been answered for 30 s", id)
				}
				time.Sleep(5 * time.Minute)
				w.history.CheckFinalState()
				w.check()
			})
		})
	}
}

// Meeting 8. Copies of old reports, of earlier sessions and attempts as well, arrive at every
// controller from seconds to well over a lease late, while tasks come and go.
func TestOldReportsAfterNewerOnes(t *testing.T) {
	story(t, 17, func(w *world) {
		for k := range 5 {
			go w.submitApart("", array(w.id(), 1+k%3), 8*time.Second, 12*time.Second)
		}
		for step := range 100 {
			time.Sleep(1500 * time.Millisecond)
			w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
				u.SendDuplicateHeartbeat(w.hosts[step%3])
				u.InboundLost = step >= 30 && step < 54 // their sessions end
			})
			if step%10 == 5 {
				go w.submit("", shaped(job.Gang, array(w.id(), 2)), 8*time.Second)
			}
			if step == 40 || step == 60 {
				w.crash(w.hosts[step/20%3])
				time.Sleep(time.Second)
				w.start(w.hosts[step/20%3])
			}
		}
		w.history.RecordFaultsEnded()
		time.Sleep(5 * time.Minute)
		w.history.CheckFinalState()
		w.check()
	})
}
