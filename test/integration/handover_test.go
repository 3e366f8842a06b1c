package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// Every team is at its limit. Jobs are cancelled whose machines are cut off or hang, and the
// leader ends: what they held is given out when it is proven gone, by nobody sooner, and it
// is given out then.
func TestTeamsAtTheirLimitsWhileTheCancelledCannotBeReached(t *testing.T) {
	for what, set := range map[string]func(u *emulator.SimulatedMachine, on bool){
		"cut off": func(u *emulator.SimulatedMachine, on bool) { u.HeartbeatsLost, u.CommandsLost = on, on },
		"hung":    func(u *emulator.SimulatedMachine, on bool) { u.Hung = on },
	} {
		for _, for_ := range []time.Duration{28 * time.Second, 45 * time.Second} { // within a lease, and beyond it
			for _, role := range leaders {
				for k, back := range backsOf(role) {
					t.Run(fmt.Sprint(what, " for ", for_, ", the ", role, " is back after ", back), func(t *testing.T) {
						t.Parallel()
						storyOfMachines(t, 61, 5, 40, func(w *world) {
							// Every owner has so many machines that those which do not answer its
							// successor are waited for, and not returned as few.
							var fill []job.Spec
							for _, zone := range zones {
								s := in(zone, array(w.id(), 10))
								if !w.submit("", s, time.Hour) {
									w.t.Fatal("not accepted")
								}
								fill = append(fill, s)
							}
							w.until("machines are up", 2*time.Minute, func() bool { return w.on(fill) == 30 })
							team := func(name string, n int) job.Spec {
								s := array(w.id(), n)
								s.Team = name
								return s
							}
							var first []job.Spec
							for _, s := range []job.Spec{team("full", 2), team("small", 2), team("full", 2), team("full", 2), team("small", 2)} {
								if k%2 == 1 && len(first) < 2 {
									s = shaped(job.Gang, s)
								}
								if !w.submit("", s, time.Hour) {
									w.t.Fatal("not accepted")
								}
								first = append(first, s)
							}
							w.until("all run", 2*time.Minute, func() bool { return w.on(first) == 10 })
							for _, s := range []job.Spec{team("full", 2), team("small", 1), team("full", 3), team("small", 2)} {
								if !w.submit("", s, 20*time.Second) {
									w.t.Fatal("not accepted")
								}
							}
							time.Sleep(10 * time.Second)
							cancelled := first[:2]
							hit := map[string]bool{}
							w.fleet.ForEachMachine(func(name string, _ *emulator.SimulatedMachine) { hit[name] = true })
							for name := range hit {
								w.unitOf(name, func(u *emulator.SimulatedMachine) { set(u, true) })
							}
							roles, lives := w.leading(role, first[0].ID), w.lives()
							bring := w.end(roles, back)
							for _, s := range cancelled {
								go func() {
									if !w.cancel("", s.ID) {
										w.t.Error("not told as cancelled")
									}
								}()
							}
							time.Sleep(for_)
							for name := range hit {
								w.unitOf(name, func(u *emulator.SimulatedMachine) { set(u, false) })
							}
							for _, s := range cancelled {
								if back < workersAway && w.history.CancelAcknowledgedAt(s.ID).IsZero() {
									w.t.Errorf("%s was not told as cancelled while its machine could not be reached", s.ID)
								}
							}
							if w.lives() == lives && back != never {
								w.t.Error("no leader changed: this shows nothing")
							}
							bring()
							w.history.RecordFaultsEnded()
							time.Sleep(4 * time.Minute)
							if stayed := w.history.TimesToStopAfterCancel(); back < workersAway && (len(stayed) == 0 || stayed[len(stayed)-1] < 5*time.Second) {
								w.t.Errorf("tasks stayed for %v after they were told: this shows nothing", stayed)
							}
							for _, s := range append(fill, first[2:]...) { // the rest ends
								w.cancel("", s.ID)
							}
							time.Sleep(2 * time.Minute)
							w.t.Logf("tasks stayed for %v; %d starts after a confirmed cancellation", w.history.TimesToStopAfterCancel(), w.history.StartsAfterCancel())
							w.history.CheckFinalState()
							w.check()
						})
					})
				}
			}
		}
	}
}

// Jobs are cancelled in each of the seconds in which one controller's work changes hands:
// by a crash, by a planned roll, by a return. Their users are told by the old one just
// before, by the new one, or by a third.
func TestCancelledWhileWorkChangesHands(t *testing.T) {
	for _, role := range leaders[:3] {
		for _, back := range backsOf(role) {
			t.Run(fmt.Sprint("the ", role, " is back after ", back), func(t *testing.T) {
				t.Parallel()
				story(t, 62, func(w *world) {
					var jobs []job.Spec
					for k := range 11 {
						s := in(zones[k%2], array(w.id(), 1))
						if k%4 == 3 {
							s = shaped(job.Service, s)
						}
						if !w.submit("host-0", s, time.Hour) {
							w.t.Fatal("not accepted")
						}
						jobs = append(jobs, s)
					}
					w.until("they run", 3*time.Minute, func() bool { return w.on(jobs) == len(jobs) })
					time.Sleep(10 * time.Second)
					lead := w.leading(role, jobs[0].ID)
					if len(lead) != 1 || lead[0] == "" {
						w.t.Fatalf("the %s is %v", role, lead)
					}
					began := w.rev(statekv.SessionPrefix + lead[0])
					if !w.cancelSoon(lead[0], jobs[0].ID) {
						w.t.Fatal("not told by the old one")
					}
					bring := w.end(lead, back)
					var users sync.WaitGroup
					for k, s := range jobs[1:] { // one each half second
						users.Go(func() {
							time.Sleep(time.Duration(k) * 500 * time.Millisecond)
							w.cancelSoon(w.hosts[k%3], s.ID)
						})
					}
					users.Wait()
					took := time.Since(w.history.CancelAcknowledgedAt(jobs[0].ID))
					time.Sleep(workers.CancellationDeadline)
					if now := w.rev(statekv.SessionPrefix + lead[0]); now == began {
						w.t.Error("its life goes on: this shows nothing")
					}
					told := 0
					for _, s := range jobs[1:] {
						if at := w.history.CancelAcknowledgedAt(s.ID); !at.IsZero() && at.Sub(w.history.CancelAcknowledgedAt(jobs[0].ID)) < 8*time.Second {
							told++
						}
					}
					if told < 5 {
						w.t.Errorf("%d cancellations were told within 8 s of the end: this shows little", told)
					}
					bring()
					w.t.Logf("%d told within 8 s, all in %v; tasks stayed for %v; %d starts after it", told, took, w.history.TimesToStopAfterCancel(), w.history.StartsAfterCancel())
					w.history.RecordFaultsEnded()
					time.Sleep(2 * time.Minute)
					w.check()
				})
			})
		}
	}
}

// New machines are up within two seconds and get work at once, while many transactions are
// late or their answers lost, and the leader ends: a machine may have tasks although its
// claim was written late, or by a controller that is no more.
func TestMachinesUpAtOnceWhileWritesLag(t *testing.T) {
	for _, atOnce := range []bool{false, true} {
		for _, role := range leaders {
			for _, back := range backsOf(role) {
				t.Run(fmt.Sprint("answers alone are lost: ", atOnce, ", the ", role, " is back after ", back), func(t *testing.T) {
					t.Parallel()
					storyWithBoots(t, 63, 1, func(w *world) {
						for _, h := range w.hosts {
							w.port(h).SetLoseAnswersOnly(atOnce)
							w.port(h).SetFaults(0, 0.5)
						}
						var jobs []job.Spec
						for k := range 5 {
							s := array(w.id(), 3)
							if k%3 == 2 {
								s = shaped(job.Gang, s)
							}
							jobs = append(jobs, s)
							go w.submit("", s, 25*time.Second)
						}
						w.until("some run", 2*time.Minute, func() bool { return w.on(jobs) >= 2 })
						up := 0
						w.fleet.ForEachMachine(func(string, *emulator.SimulatedMachine) { up++ })
						on := ""
						for _, s := range jobs {
							if on == "" && w.history.TasksOnMachines(s.ID) > 0 {
								on = s.ID
							}
						}
						lives := w.lives()
						bring := w.end(w.leading(role, on), back)
						for range 3 {
							go w.submit("", array(w.id(), 2), 10*time.Second)
						}
						time.Sleep(max(25*time.Second, back+15*time.Second)) // those who are back meet it too
						held := 0
						for _, h := range w.hosts {
							held += w.port(h).UnansweredTxns()
						}
						if w.t.Logf("%d transactions got no answer", held); held < 5 {
							w.t.Error("writes hardly lagged: this shows little")
						}
						if back < workersAway && w.lives() == lives {
							w.t.Error("no leader changed: this shows nothing")
						}
						if up == 0 {
							w.t.Error("no machine was up when the leader ended: this shows nothing")
						}
						for _, h := range w.hosts {
							w.port(h).SetFaults(0, 0)
						}
						more := 0
						w.fleet.ForEachMachine(func(string, *emulator.SimulatedMachine) { more++ })
						w.t.Logf("%d machines when it ended, %d later", up, more)
						bring()
						w.history.RecordFaultsEnded()
						time.Sleep(5 * time.Minute)
						w.history.CheckFinalState()
						w.check()
					})
				})
			}
		}
	}
}

// A machine is returned and its key removed; a claim of it that had no answer is carried out
// after that. What it makes is a key of a machine that is no more: it is found and removed,
// and nothing waits for it.
func TestLateClaimOfAMachineThatIsGone(t *testing.T) {
	storyWithBoots(t, 64, 1, func(w *world) {
		for _, h := range w.hosts {
			w.port(h).SetTxnDelay(25*time.Second, false)
		}
		s := array(w.id(), 2)
		go w.submit("", s, 5*time.Second)
		name := ""
		w.until("a machine is up", 30*time.Second, func() bool {
			w.fleet.ForEachMachine(func(n string, u *emulator.SimulatedMachine) {
				if name == "" && u.WorkerEpoch() > 0 {
					name = n
				}
			})
			return name != ""
		})
		// Its claim is carried out late: all are, for a while.
		for _, h := range w.hosts {
			w.port(h).SetFaults(0, 1)
		}
		time.Sleep(8 * time.Second)
		for _, h := range w.hosts {
			w.port(h).SetFaults(0, 0)
		}
		_ = w.fleet.ScaleIn(w.ctx, []string{name})
		w.until("its key is there", 40*time.Second, func() bool { return w.rev(statekv.MachinePrefix+name) > 0 })
		w.until("its key is removed", 2*time.Minute, func() bool { return w.rev(statekv.MachinePrefix+name) == 0 })
		w.history.RecordFaultsEnded()
		time.Sleep(3 * time.Minute)
		w.history.CheckFinalState()
		w.check()
	})
}

// A machine is drained, returned and its key removed; then a second late claim brings the key
// back under an owner that knows the machine from its last entry: as draining. The steward
// tells that owner that the machine is gone, so that its key does not stay until the steward
// has forgotten the machine.
func TestSecondLateClaimOfADrainedMachine(t *testing.T) {
	storyWithBoots(t, 66, 1, func(w *world) {
		w.submit("", array(w.id(), 2), 5*time.Second)
		name, shardID := "", ""
		w.until("a machine is owned", 30*time.Second, func() bool {
			for _, kv := range w.state.ListAll(statekv.MachinePrefix) {
				name = kv.Key[len(statekv.MachinePrefix):]
			}
			return name != ""
		})
		key := *shard.ParseMachineRecord(w.state.ListAll(statekv.MachinePrefix + name)[0])
		w.until("its key is removed", 3*time.Minute, func() bool { return w.rev(statekv.MachinePrefix+name) == 0 })
		steward := w.holder(statekv.LeaderKey)
		for _, kv := range w.state.ListAll(statekv.MachineShardPrefix) {
			if h := w.holder(kv.Key); h != steward && h != "" {
				shardID = kv.Key[len(statekv.MachineShardPrefix):]
			}
		}
		if shardID == "" {
			w.t.Fatal("no controller but the steward has a shard: this shows nothing")
		}
		key.Shard = shardID
		if _, err := w.state.Txn(w.ctx, []statekv.Compare{{Key: statekv.MachinePrefix + name}}, []statekv.Op{{Set: statekv.MachinePrefix + name, Value: key}}); err != nil {
			w.t.Fatal(err)
		}
		w.until("its key is removed again", time.Minute, func() bool { return w.rev(statekv.MachinePrefix+name) == 0 })
		w.check()
	})
}

// Reports are kept, and copies of them reach every controller just as a new leader begins,
// before and after the first true report to it: of the present session, of one that has
// ended, with tasks that have ended since and were forgotten. Nothing is taken for gone, for
// running or for settled on their strength.
func TestOldReportsReachEveryControllerAsANewLeaderBegins(t *testing.T) {
	for _, role := range leaders {
		for _, back := range backsOf(role) {
			for _, session := range []string{"the same session", "an ended session", "before its work began"} {
				t.Run(fmt.Sprint(session, ", the ", role, " is back after ", back), func(t *testing.T) {
					t.Parallel()
					story(t, 65, func(w *world) {
						short, long := in("a", array(w.id(), 2)), in("a", array(w.id(), 2))
						w.submit("host-0", short, 15*time.Second)
						w.submit("host-0", long, 3*time.Minute)
						first := in("a", array(w.id(), 6))
						w.submit("host-0", first, 5*time.Second)
						w.until("both run", time.Minute, func() bool {
							return w.history.TasksOnMachines(short.ID) == 2 && w.history.TasksOnMachines(long.ID) == 2
						})
						w.until("the first is over", time.Minute, func() bool {
							return w.history.TaskCompleted(job.TaskID(first.ID, 5)) && w.history.TasksOnMachines(first.ID) == 0
						})
						time.Sleep(4 * time.Second)
						w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.CaptureHeartbeat() })
						if session == "before its work began" {
							// What has begun since is in no kept report, and a new owner gets
							// those before it hears from anybody else.
							long = in("a", array(w.id(), 6))
							w.submit("host-0", long, 3*time.Minute)
							w.until("the long one runs too", time.Minute, func() bool { return w.history.TasksOnMachines(long.ID) == 6 })
							time.Sleep(4 * time.Second)
						} else if session == "an ended session" {
							// Answers come too late for the workers: their leases run out.
							w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.AnswerDelay = 4500 * time.Millisecond })
							time.Sleep(workers.LeaseDuration + 6*time.Second)
							w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.AnswerDelay = 0 })
							w.until("they run again", 3*time.Minute, func() bool { return w.history.TasksOnMachines(short.ID)+w.history.TasksOnMachines(long.ID) > 1 })
						} else {
							w.until("the short one has run", 3*time.Minute, func() bool {
								return w.history.TaskCompleted(job.TaskID(short.ID, 0)) && w.history.TaskCompleted(job.TaskID(short.ID, 1))
							})
							time.Sleep(8 * time.Second) // it is forgotten
						}
						before, lives := w.history.TaskStarts(), w.lives()
						if session == "before its work began" {
							if n := w.keptWithout(long.ID); n == 0 {
								w.t.Fatal("no kept report was made before its machine's work began: this shows nothing")
							}
							w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.HeartbeatsLost, u.CommandsLost = true, true })
							go func() {
								time.Sleep(max(0, back) + 10*time.Second)
								w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.HeartbeatsLost, u.CommandsLost = false, false })
							}()
						} else if n := w.kept(short.ID, session == "an ended session"); n == 0 {
							w.t.Fatal("no kept report lists a task that is over: this shows nothing")
						}
						bring := w.end(w.leading(role, long.ID), back)
						arrived := 0
						for range 40 { // from the end on, through the taking
							arrived += w.sendKept()
							time.Sleep(200 * time.Millisecond)
						}
						if back == workersAway {
							time.Sleep(back - 10*time.Second)
							for range 20 {
								arrived += w.sendKept()
								time.Sleep(200 * time.Millisecond)
							}
						}
						if w.lives() == lives && back != never {
							w.t.Error("no leader changed: this shows nothing")
						}
						if arrived < 50 {
							w.t.Errorf("%d copies arrived: this shows little", arrived)
						}
						bring()
						w.history.RecordFaultsEnded()
						time.Sleep(30 * time.Second)
						if again := w.history.TaskStarts() - before - w.fleet.TasksLostToScaleIn(); again > 0 && back != workersAway && session == "the same session" {
							w.t.Errorf("%d tasks were started again", again)
						}
						time.Sleep(6 * time.Minute)
						w.history.CheckFinalState()
						w.check()
					})
				})
			}
		}
	}
}

// workersAway is the time away after which leases may have run out.
const workersAway = 40 * time.Second

// kept counts the machines that are there and whose kept report lists a task of a job: of
// an earlier session, or of this one and the task is not listed any more.
func (w *world) kept(id string, earlier bool) (n int) {
	w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
		for _, task := range []string{job.TaskID(id, 0), job.TaskID(id, 1)} {
			if u.CapturedHeartbeatLists(task) && (earlier && u.WorkerEpoch() > 1 || !earlier && !u.ListsTask(task)) {
				n++
			}
		}
	})
	return n
}

// keptWithout counts the machines that have a task of a job and whose kept report does not
// list it.
func (w *world) keptWithout(id string) (n int) {
	w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
		for k := range 6 {
			if task := job.TaskID(id, k); u.HasCapturedHeartbeat() && u.ListsTask(task) && !u.CapturedHeartbeatLists(task) {
				n++
			}
		}
	})
	return n
}

// sendKept sends the kept reports of all machines to all controllers at once, and returns
// how many reached one that answered.
func (w *world) sendKept() (arrived int) {
	var machines []*emulator.SimulatedMachine
	w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { machines = append(machines, u) })
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, u := range machines {
		for _, h := range w.hosts {
			all.Go(func() {
				if u.SendCapturedHeartbeat(h) != 0 {
					mu.Lock()
					arrived++
					mu.Unlock()
				}
			})
		}
	}
	all.Wait()
	return arrived
}
