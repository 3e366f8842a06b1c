package integration

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// A zone with its workers and a controller is cut off from everything else for longer than a
// lease: work goes on there, nothing of it starts elsewhere, and what is cancelled outside
// meanwhile is gone in time.
func TestZoneCutOffWithItsController(t *testing.T) {
	for _, for_ := range []time.Duration{20 * time.Second, 45 * time.Second, 2 * time.Minute} {
		t.Run(for_.String(), func(t *testing.T) {
			t.Parallel()
			// Machines boot for so long that silent ones are waited for, and not returned,
			storyWithBoots(t, 101, 40, func(w *world) {
				inside, called := in("b", array(w.id(), 2)), in("b", array(w.id(), 2))
				// And so many that they are not returned at once as few that do not answer.
				for _, s := range []job.Spec{inside, called, in("b", array(w.id(), 4)), in("b", array(w.id(), 4))} {
					if !w.submit("host-0", s, 4*time.Minute) {
						w.t.Fatal("not accepted")
					}
				}
				w.until("they run", 3*time.Minute, func() bool {
					return w.history.TasksOnMachines(inside.ID) == 2 && w.history.TasksOnMachines(called.ID) == 2
				})
				time.Sleep(10 * time.Second)
				if h := w.ownerOf(w.history.MachineOfFirstTask(inside.ID)); h != "host-1" {
					w.t.Fatalf("the owner is %s: this shows nothing", h)
				}
				cut := func(on bool) {
					w.hub.set("host-1", on)
					w.port("host-1").SetRefuseAll(on)
					w.cutUsers("host-1", on)
					w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
						switch {
						case u.Zone() != "b":
							u.UnreachableFrom = map[bool]string{true: "host-1"}[on]
						case on:
							u.OnlyController = "host-1"
						default:
							u.OnlyController = ""
						}
					})
				}
				cut(true)
				if !w.cancel("host-2", called.ID) {
					w.t.Fatal("not told as cancelled")
				}
				if w.history.TasksOnMachines(called.ID) == 0 {
					w.t.Error("nothing was on machines: this shows nothing")
				}
				go w.submit("host-2", in("b", array(w.id(), 1)), 10*time.Second)
				time.Sleep(for_)
				if n := w.history.TasksOnMachines(inside.ID); n == 0 && for_ < 25*time.Second {
					w.t.Errorf("%d tasks run on in the zone", n)
				}
				cut(false)
				w.history.RecordFaultsEnded()
				time.Sleep(8 * time.Minute)
				w.t.Logf("tasks stayed for %v", w.history.TimesToStopAfterCancel())
				w.history.CheckFinalState()
				w.check()
			})
		})
	}
}

// All controllers are away for longer than a lease, or one is back sooner: what ran is gone
// by its leases or goes on, and everything comes to its end.
func TestAllAwayLongerThanALease(t *testing.T) {
	for _, away := range []time.Duration{25 * time.Second, 33 * time.Second, 90 * time.Second} {
		for _, alone := range []bool{false, true} {
			t.Run(fmt.Sprint(away, ", one is back first: ", alone), func(t *testing.T) {
				t.Parallel()
				story(t, 102, func(w *world) {
					var jobs []job.Spec
					for k := range 4 {
						s := array(w.id(), 2)
						if k%2 == 1 {
							s = shaped(job.Gang, s)
						}
						jobs = append(jobs, s)
						if !w.submit("", s, 70*time.Second) {
							w.t.Fatal("not accepted")
						}
					}
					w.until("they run", time.Minute, func() bool {
						return w.history.TasksOnMachines(jobs[0].ID) == 2 && w.history.TasksOnMachines(jobs[3].ID) == 2
					})
					time.Sleep(5 * time.Second)
					if !w.cancelSoon("host-1", jobs[2].ID) {
						w.t.Fatal("not told as cancelled")
					}
					var machines []*emulator.SimulatedMachine
					w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { machines = append(machines, u) })
					bring := w.end(w.hosts, never)
					time.Sleep(away)
					if away > workers.LeaseDuration+2*time.Second && machines[0].WorkerEpoch() == 1 {
						w.t.Error("no lease ran out: this shows nothing")
					}
					if alone {
						w.start("host-2")
						time.Sleep(20 * time.Second)
						w.start("host-0")
						w.start("host-1")
					} else {
						bring()
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

// Leaders change ten times in two minutes, also inside an outage of the state service, which
// they can take nothing in: each time whoever is steward, or places, or owns.
func TestTenChangesOfLeaderInTwoMinutes(t *testing.T) {
	for _, outage := range []bool{false, true} {
		for _, role := range leaders {
			t.Run(fmt.Sprint(role, ", inside an outage: ", outage), func(t *testing.T) {
				t.Parallel()
				story(t, 103, func(w *world) {
					long := in("a", array(w.id(), 2))
					if !w.submit("host-0", long, 5*time.Minute) {
						w.t.Fatal("not accepted")
					}
					w.until("it runs", time.Minute, func() bool { return w.history.TasksOnMachines(long.ID) == 2 })
					changes := 0
					for k := range 10 {
						if k == 4 && outage {
							w.state.SetOutage(true, false)
						}
						if k == 7 {
							w.state.SetOutage(false, false)
						}
						go w.submitApart("", array(w.id(), 1+k%3), 10*time.Second, 5*time.Second)
						if k%3 == 1 {
							if ids := w.history.AcceptedJobs(); len(ids) > 2 {
								go w.cancel("", ids[1+k%(len(ids)-1)])
							}
						}
						lives := w.lives()
						hosts := w.leading(role, long.ID)
						if hosts[0] == "" {
							hosts = []string{w.hosts[k%3]}
						}
						w.end(hosts, 400*time.Millisecond)
						time.Sleep(12 * time.Second)
						if w.lives() != lives {
							changes++
						}
					}
					if changes < 6 {
						w.t.Errorf("%d changes: this shows little", changes)
					}
					w.history.RecordFaultsEnded()
					time.Sleep(8 * time.Minute)
					w.history.CheckFinalState()
					w.check()
				})
			})
		}
	}
}

// There is more work than room, urgent and not, and commands, answers and the state service
// are slow: the urgent begin first, nothing runs twice, and all come to their end.
func TestMoreWorkThanRoomOverSlowLinks(t *testing.T) {
	story(t, 104, func(w *world) {
		for _, h := range w.hosts {
			w.port(h).SetFaults(300*time.Millisecond, 0)
		}
		slow := func(on bool) {
			w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
				u.CommandDelay, u.AnswerDelay = 0, 0
				if on {
					u.CommandDelay, u.AnswerDelay = time.Second, 700*time.Millisecond
				}
			})
		}
		go func() {
			for w.ctx.Err() == nil && time.Since(w.history.StartTime()) < 3*time.Minute {
				slow(true)
				time.Sleep(time.Second)
			}
			slow(false)
		}()
		var urgent, other []job.Spec
		for k := range 30 {
			s := array(w.id(), 2)
			if k%5 == 4 {
				s.Rank = "production"
				urgent = append(urgent, s)
			} else {
				if k%5 == 3 {
					s = shaped(job.Gang, s)
				}
				other = append(other, s)
			}
			go w.submit("", s, 25*time.Second)
			time.Sleep(400 * time.Millisecond)
		}
		waiting := 0
		for range 60 {
			time.Sleep(time.Second)
			for _, s := range other {
				if w.history.TasksOnMachines(s.ID) == 0 {
					waiting++
				}
			}
		}
		if waiting < 60 {
			w.t.Errorf("work hardly waited: this shows little")
		}
		for _, s := range urgent {
			if w.history.TasksOnMachines(s.ID) == 0 && !w.history.TaskCompleted(job.TaskID(s.ID, 0)) {
				w.t.Errorf("%s is urgent and has not begun after a minute", s.ID)
			}
		}
		time.Sleep(2 * time.Minute)
		for _, h := range w.hosts {
			w.port(h).SetFaults(0, 0)
		}
		w.history.RecordFaultsEnded()
		time.Sleep(8 * time.Minute)
		w.history.CheckFinalState()
		w.check()
	})
}

// Jobs bound to one zone, arrays and gangs, lose machines one after the other, and once all
// that the zone has: each starts anew in its zone, and only what was lost.
func TestJobsOfOneZoneLoseMachines(t *testing.T) {
	for _, role := range append([]string{"nobody"}, leaders...) {
		t.Run("ends: "+role, func(t *testing.T) {
			t.Parallel()
			story(t, 105, func(w *world) {
				bound := in("b", array(w.id(), 3))
				one := array(w.id(), 3)
				one.OneZone = true
				gang := in("b", shaped(job.Gang, array(w.id(), 2)))
				gang.OneZone = true
				jobs := []job.Spec{bound, one, gang}
				for _, s := range jobs {
					if !w.submit("", s, time.Minute) {
						w.t.Fatal("not accepted")
					}
				}
				w.until("they run", time.Minute, func() bool {
					return w.history.TasksOnMachines(bound.ID) == 3 && w.history.TasksOnMachines(one.ID) == 3 && w.history.TasksOnMachines(gang.ID) == 2
				})
				killed := 0
				for _, s := range jobs {
					w.unitOf(w.history.MachineOfFirstTask(s.ID), func(u *emulator.SimulatedMachine) { u.Kill(); killed++ })
					if s.ID == bound.ID && role != "nobody" {
						w.end(w.leading(role, one.ID), 400*time.Millisecond)
					}
					time.Sleep(7 * time.Second)
				}
				time.Sleep(20 * time.Second)
				w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
					if u.Zone() == "b" {
						u.Kill()
						killed++
					}
				})
				if killed < 4 {
					w.t.Errorf("%d machines were lost: this shows little", killed)
				}
				time.Sleep(time.Minute)
				w.history.RecordFaultsEnded()
				time.Sleep(8 * time.Minute)
				w.history.CheckFinalState()
				w.check()
			})
		})
	}
}

// An array that must be in one zone loses the machine of two of its tasks while its zone has
// no more room and a machine of another zone has, which cannot serve it: one is rented in its
// zone.
func TestArrayOfOneZoneGetsAMachineThere(t *testing.T) {
	story(t, 107, func(w *world) {
		one := array(w.id(), 3)
		one.OneZone = true
		if !w.submit("", one, 10*time.Minute) {
			w.t.Fatal("not accepted")
		}
		w.until("it runs", time.Minute, func() bool { return w.history.TasksOnMachines(one.ID) == 3 })
		zone, lost := "", ""
		tasks := map[string]int{}
		for index := range one.Tasks {
			tasks[w.history.MachineOfTask(job.TaskID(one.ID, index))]++
		}
		for machine, n := range tasks {
			w.unitOf(machine, func(u *emulator.SimulatedMachine) { zone = u.Zone() })
			if n == 2 {
				lost = machine
			}
		}
		if lost == "" {
			w.t.Fatalf("its tasks are on %v: no machine has two", tasks)
		}
		for w.fleet.HasCapacity(in(zone, array("", 1)), 1) { // no other machine of its zone has room
			filler := in(zone, array(w.id(), 1))
			w.submit("", filler, 10*time.Minute)
			w.until("the zone's room is taken", time.Minute, func() bool { return w.history.TasksOnMachines(filler.ID) == 1 })
		}
		other := zones[(slices.Index(zones, zone)+1)%len(zones)]
		elsewhere := in(other, array(w.id(), 1))
		elsewhere.CPUs, elsewhere.GPUs = 5, 0 // its machine has room for two of the others all the time
		w.submit("", elsewhere, 10*time.Minute)
		w.until("a machine of another zone has room", time.Minute, func() bool {
			return w.history.TasksOnMachines(elsewhere.ID) == 1 && w.fleet.HasCapacity(in(other, array("", 2)), 2)
		})
		w.unitOf(lost, func(u *emulator.SimulatedMachine) { u.Kill() })
		w.until("it has lost two tasks", 90*time.Second, func() bool { return w.history.TasksOnMachines(one.ID) == 1 })
		w.until("it runs whole again", 90*time.Second, func() bool { return w.history.TasksOnMachines(one.ID) == 3 })
		w.check()
	})
}

// A report is held back until a new leader has acted, and then arrives there, as the first
// that anybody gets of it.
func TestReportHeldBackUntilANewLeaderHasActed(t *testing.T) {
	for _, role := range leaders {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			story(t, 106, func(w *world) {
				long, short := in("a", array(w.id(), 2)), in("a", array(w.id(), 2))
				w.submit("host-0", long, 3*time.Minute)
				for range 4 { // so many machines that they are waited for, and not returned
					w.submit("host-0", in("a", array(w.id(), 2)), 3*time.Minute)
				}
				w.submit("host-0", short, 20*time.Second)
				w.until("they run", time.Minute, func() bool {
					return w.history.TasksOnMachines(long.ID) == 2 && w.history.TasksOnMachines(short.ID) == 2
				})
				w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.HeartbeatsLost, u.CommandsLost = true, true })
				time.Sleep(4 * time.Second)
				w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.CaptureHeartbeat() })
				lives := w.lives()
				w.end(w.leading(role, long.ID), 400*time.Millisecond)
				w.until("the short one has run", 30*time.Second, func() bool { return w.history.TaskCompleted(job.TaskID(short.ID, 1)) })
				w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.HeartbeatsLost, u.CommandsLost = false, false })
				time.Sleep(6 * time.Second)
				if w.lives() == lives {
					w.t.Error("no leader changed: this shows nothing")
				}
				if n := w.sendKept(); n < 3 {
					w.t.Errorf("%d reports arrived: this shows nothing", n)
				}
				time.Sleep(500 * time.Millisecond)
				w.sendKept()
				w.history.RecordFaultsEnded()
				time.Sleep(6 * time.Minute)
				w.history.CheckFinalState()
				w.check()
			})
		})
	}
}
