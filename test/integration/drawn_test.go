package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// trouble is one kind of failure: begin causes it and returns what ends it.
type trouble struct {
	name   string
	for_   [2]int // seconds it lasts, at least and at most
	begin  func(w *world, rng *rand.Rand) (end func())
	common int // how often it is drawn, against the others
}

func anyHost(w *world, rng *rand.Rand) string { return w.hosts[rng.IntN(len(w.hosts))] }

// machines has some of the machines changed, and changed back.
func machines(share float64, set func(u *emulator.SimulatedMachine, on bool)) func(w *world, rng *rand.Rand) func() {
	return func(w *world, rng *rand.Rand) func() {
		hit := map[*emulator.SimulatedMachine]bool{}
		w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
			if rng.Float64() < share {
				hit[u] = true
				set(u, true)
			}
		})
		return func() {
			w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
				if hit[u] {
					set(u, false)
				}
			})
		}
	}
}

var troubles = []trouble{
	{"a controller is back within a fraction of a second", [2]int{0, 0}, func(w *world, rng *rand.Rand) func() {
		h := anyHost(w, rng)
		w.crash(h)
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		w.start(h)
		return func() {}
	}, 3},
	{"a controller is away", [2]int{2, 60}, func(w *world, rng *rand.Rand) func() {
		h := anyHost(w, rng)
		w.crash(h)
		return func() { w.start(h) }
	}, 2},
	{"all end", [2]int{0, 8}, func(w *world, rng *rand.Rand) func() {
		for _, h := range w.hosts {
			w.crash(h)
		}
		return func() {
			for _, h := range w.hosts {
				w.start(h)
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			}
		}
	}, 1},
	{"the state service refuses one", [2]int{1, 90}, func(w *world, rng *rand.Rand) func() {
		h := anyHost(w, rng)
		w.port(h).SetRefuseAll(true)
		return func() { w.port(h).SetRefuseAll(false) }
	}, 3},
	{"the state service is down", [2]int{1, 80}, func(w *world, rng *rand.Rand) func() {
		w.state.SetOutage(true, false)
		return func() { w.state.SetOutage(false, false) }
	}, 2},
	{"the state service is slow", [2]int{5, 40}, func(w *world, rng *rand.Rand) func() {
		slow := time.Duration(100+rng.IntN(1500)) * time.Millisecond
		for _, h := range w.hosts {
			w.port(h).SetFaults(slow, 0)
		}
		return func() {
			for _, h := range w.hosts {
				w.port(h).SetFaults(0, 0)
			}
		}
	}, 1},
	{"transactions are late", [2]int{10, 60}, func(w *world, rng *rand.Rand) func() {
		share := 0.1 + 0.5*rng.Float64()
		for _, h := range w.hosts {
			w.port(h).SetFaults(0, share)
		}
		return func() {
			for _, h := range w.hosts {
				w.port(h).SetFaults(0, 0)
			}
		}
	}, 3},
	{"one is cut from state and peers", [2]int{5, 90}, func(w *world, rng *rand.Rand) func() {
		h := anyHost(w, rng)
		w.port(h).SetRefuseAll(true)
		w.hub.set(h, true)
		return func() { w.port(h).SetRefuseAll(false); w.hub.set(h, false) }
	}, 3},
	{"one is cut from peers", [2]int{5, 90}, func(w *world, rng *rand.Rand) func() {
		h := anyHost(w, rng)
		w.hub.set(h, true)
		return func() { w.hub.set(h, false) }
	}, 2},
	{"others do not reach one", [2]int{5, 60}, func(w *world, rng *rand.Rand) func() {
		h := anyHost(w, rng)
		w.hub.silence(h, true)
		return func() { w.hub.silence(h, false) }
	}, 1},
	{"one is cut from workers", [2]int{5, 60}, func(w *world, rng *rand.Rand) func() {
		h := anyHost(w, rng)
		w.cutWork(h, true)
		return func() { w.cutWork(h, false) }
	}, 1},
	{"machines hear nothing", [2]int{3, 60}, machines(0.4, func(u *emulator.SimulatedMachine, on bool) { u.InboundLost = on }), 2},
	{"commands are lost", [2]int{3, 60}, machines(0.4, func(u *emulator.SimulatedMachine, on bool) { u.CommandsLost = on }), 2},
	{"machines hang", [2]int{2, 60}, machines(0.3, func(u *emulator.SimulatedMachine, on bool) { u.Hung = on }), 2},
	{"commands are held up", [2]int{5, 30}, machines(0.5, func(u *emulator.SimulatedMachine, on bool) {
		if u.CommandDelay = 0; on {
			u.CommandDelay = 3500 * time.Millisecond
		}
	}), 2},
	{"answers are held up", [2]int{5, 30}, machines(0.5, func(u *emulator.SimulatedMachine, on bool) {
		if u.AnswerDelay = 0; on {
			u.AnswerDelay = 3 * time.Second
		}
	}), 2},
	{"copies of reports come late", [2]int{0, 0}, func(w *world, rng *rand.Rand) func() {
		h := anyHost(w, rng)
		w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
			if rng.IntN(2) == 0 {
				u.SendDuplicateHeartbeat(h)
			}
		})
		return func() {}
	}, 4},
	{"only answers are lost", [2]int{10, 60}, func(w *world, rng *rand.Rand) func() {
		share := 0.1 + 0.6*rng.Float64()
		for _, h := range w.hosts {
			w.port(h).SetLoseAnswersOnly(true)
			w.port(h).SetFaults(0, share)
		}
		return func() {
			for _, h := range w.hosts {
				w.port(h).SetLoseAnswersOnly(false)
				w.port(h).SetFaults(0, 0)
			}
		}
	}, 3},
	{"machines are mute", [2]int{3, 70}, machines(0.4, func(u *emulator.SimulatedMachine, on bool) { u.HeartbeatsLost = on }), 2},
	{"reports are kept for the next leader", [2]int{5, 50}, func(w *world, rng *rand.Rand) func() {
		w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) { u.CaptureHeartbeat() })
		return func() {
			if h := anyHost(w, rng); w.isUp(h) {
				w.crash(h)
				go func() {
					time.Sleep(time.Duration(rng.IntN(2)*rng.IntN(1500)) * time.Millisecond)
					w.start(h)
				}()
			}
			go func() {
				for range 8 {
					w.sendKept()
					time.Sleep(600 * time.Millisecond)
				}
			}()
		}
	}, 3},
	{"jobs are called off as their machines hang", [2]int{5, 45}, func(w *world, rng *rand.Rand) func() {
		hung := map[string]bool{}
		for _, id := range w.history.AcceptedJobs() {
			if m := w.history.MachineOfFirstTask(id); m != "" && len(hung) < 4 && rng.IntN(2) == 0 {
				hung[m] = true
				w.unitOf(m, func(u *emulator.SimulatedMachine) { u.Hung = true })
				go w.cancel("", id)
			}
		}
		return func() {
			for m := range hung {
				w.unitOf(m, func(u *emulator.SimulatedMachine) { u.Hung = false })
			}
		}
	}, 2},
	{"ends are called off", [2]int{5, 40}, func(w *world, rng *rand.Rand) func() {
		k := 0
		w.fleet.OnTaskCompleted(func(task string) {
			id, _, _ := job.SplitTaskID(task)
			k++
			time.Sleep(time.Duration(k*37%400) * time.Millisecond)
			w.cancel("", id)
		})
		return func() { w.fleet.OnTaskCompleted(nil) }
	}, 2},
	{"users look closely", [2]int{5, 30}, func(w *world, rng *rand.Rand) func() {
		ctx, stop := context.WithCancel(w.ctx)
		first := rng.IntN(1000)
		go func() {
			for k := first; ctx.Err() == nil; k++ {
				if ids := w.history.AcceptedJobs(); len(ids) > 0 {
					s, _ := w.history.Spec(ids[k*7%len(ids)])
					if k%3 == 0 {
						w.cancelSoon(w.hosts[k%3], s.ID)
					}
					var l looks
					w.lookClosely(s, &l)
				}
				time.Sleep(2 * time.Second)
			}
		}()
		return stop
	}, 2},
	{"odd requests come", [2]int{5, 30}, func(w *world, rng *rand.Rand) func() {
		ctx, stop := context.WithCancel(w.ctx)
		first := rng.IntN(1000)
		go func() {
			for k := first; ctx.Err() == nil; k++ {
				if ids := w.history.AcceptedJobs(); len(ids) > 0 {
					s, _ := w.history.Spec(ids[k*5%len(ids)])
					w.resubmit(w.hosts[k%3], s)
				}
				bad := array(w.id(), 1)
				w.history.RecordInvalidSubmission(bad)
				bad.Need.GPUs = 3
				asked := w.history.StampRequest()
				code, status := w.call(w.hosts[(k+1)%3], "POST", "/submissions", wireSpec(bad), 5*time.Second)
				w.history.RecordResponse("submit", bad.ID, asked, code, status)
				time.Sleep(700 * time.Millisecond)
			}
		}()
		return stop
	}, 1},
	{"one-task jobs come", [2]int{5, 20}, func(w *world, rng *rand.Rand) func() {
		ctx, stop := context.WithCancel(w.ctx)
		go func() {
			for k := 0; ctx.Err() == nil; k++ {
				s := array(w.id(), 1)
				go func() {
					if w.submit("", s, 3*time.Second) && k%4 == 0 {
						w.cancel("", s.ID)
					}
				}()
				time.Sleep(500 * time.Millisecond)
			}
		}()
		return stop
	}, 1},
	{"a machine stops with all that is on it", [2]int{0, 0}, func(w *world, rng *rand.Rand) func() {
		at := rng.IntN(8)
		w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
			if at--; at == 0 {
				u.Kill()
			}
		})
		return func() {}
	}, 1},
}

// isUp reports whether a controller's process runs.
func (w *world) isUp(host string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[host] != nil
}

// drawTrouble picks one by how common it is.
func drawTrouble(rng *rand.Rand) trouble {
	sum := 0
	for _, x := range troubles {
		sum += x.common
	}
	n := rng.IntN(sum)
	for _, x := range troubles {
		if n -= x.common; n < 0 {
			return x
		}
	}
	return troubles[0]
}

// day is a drawn day: jobs of all shapes come, some are cancelled, and troubles come in
// pairs and triples, while users ask. Then all are over.
func (w *world) day(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	type running struct {
		name string
		end  func()
		at   time.Time
	}
	var on []running
	for range 80 {
		if rng.IntN(2) == 0 {
			w.drawJob(rng)
		}
		if ids := w.history.AcceptedJobs(); rng.IntN(6) == 0 && len(ids) > 0 {
			go w.cancel("", ids[rng.IntN(len(ids))])
		}
		still := on[:0]
		for _, x := range on {
			if time.Now().After(x.at) {
				w.history.RecordFault("over: %s", x.name)
				x.end()
			} else {
				still = append(still, x)
			}
		}
		on = still
		if rng.IntN(4) == 0 && len(on) < 3 {
			x := drawTrouble(rng)
			taken := false
			for _, y := range on {
				taken = taken || y.name == x.name || strings.HasPrefix(x.name, "all end") || y.name == "all end" || strings.Contains(y.name, "is away") && strings.Contains(x.name, "is back")
			}
			if !taken {
				d := x.for_[0]
				if more := x.for_[1] - d; more > 0 {
					d += rng.IntN(more)
				}
				w.history.RecordFault("%s for %d s", x.name, d)
				on = append(on, running{x.name, x.begin(w, rng), time.Now().Add(time.Duration(d) * time.Second)})
			}
		}
		time.Sleep(time.Duration(500+rng.IntN(4000)) * time.Millisecond)
	}
	for _, x := range on {
		x.end()
	}
	w.history.RecordFault("all troubles are over")
	time.Sleep(5 * time.Second)
	w.history.RecordFaultsEnded()
	time.Sleep(10 * time.Minute)
	w.history.CheckFinalState()
}

// drawJob has a user submit a job: often of two or three tasks that end far apart.
func (w *world) drawJob(rng *rand.Rand) {
	s := array(w.id(), 1+rng.IntN(3))
	switch rng.IntN(8) {
	case 0, 1:
		s = shaped(job.Gang, s)
		s.Tasks = 1 + rng.IntN(2)
		s.OneZone = rng.IntN(2) == 0
		s.Rank = "high"
	case 2:
		s = in(zones[rng.IntN(3)], s)
	case 3:
		s.Team = "full"
	case 4:
		s.Spread = true
	}
	if ids := w.history.AcceptedJobs(); rng.IntN(4) == 0 && len(ids) > 0 {
		s.WaitsOn = []string{ids[rng.IntN(len(ids))]}
	}
	runs := time.Duration(2+rng.IntN(60)) * time.Second
	go w.submitApart("", s, runs, time.Duration(rng.IntN(2)*rng.IntN(30))*time.Second)
}

// seeds are those of CI, or a range given as FROM-TO in MEETINGS.
func seeds(t *testing.T, few ...uint64) []uint64 {
	from, to, ok := strings.Cut(os.Getenv("MEETINGS"), "-")
	if !ok {
		return few
	}
	a, err1 := strconv.ParseUint(from, 10, 64)
	b, err2 := strconv.ParseUint(to, 10, 64)
	if err1 != nil || err2 != nil {
		t.Fatal("MEETINGS is not FROM-TO")
	}
	var out []uint64
	for ; a < b; a++ {
		out = append(out, a)
	}
	return out
}

// For drawn days of all these together no rule breaks, and every job is known, answered
// about, and comes to its end.
func TestDrawnMeetings(t *testing.T) {
	for _, seed := range seeds(t, 1, 2, 3, 4, 5, 6, 7, 8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			boot := 5.0
			if seed%3 == 0 {
				boot = 1 // machines are up at once
			}
			storyWithBoots(t, seed, boot, func(w *world) {
				w.day(seed)
				if n := len(w.history.AcceptedJobs()); n < 15 || w.history.TaskStarts() < 20 {
					w.t.Errorf("only %d jobs and %d starts: this shows little", n, w.history.TaskStarts())
				}
				w.check()
				if w.t.Failed() {
					w.t.Logf("seed %d:\n%s", seed, strings.Join(w.history.Trace(), "\n"))
				}
				w.tellOpen()
			})
		})
	}
}

// tellOpen logs who has what of the jobs that are still open: it tells why one does not end.
func (w *world) tellOpen() {
	for _, kv := range w.state.ListAll(job.RecordPrefix) {
		rec, err := job.ParseRecord(kv.Value)
		if err != nil {
			w.t.Logf("%s: %v", kv.Key, err)
			continue
		}
		slot := w.state.ListAll(statekv.JobShardPrefix + rec.JobShard)
		w.t.Logf("%s rev %d: slot %v, tasks on machines %d", kv.Key, kv.Rev, slot, w.history.TasksOnMachines(rec.Spec.ID))
	}
	if w.t.Failed() {
		for _, kv := range w.state.ListAll(statekv.ClusterPrefix) {
			w.t.Logf("%s rev %d: %s", kv.Key, kv.Rev, kv.Value)
		}
	}
}
