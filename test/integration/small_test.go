package integration

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"robinstack/emulator"
)

// Jobs of one task come four a second for minutes, and a quarter are cancelled, alone and
// with each other trouble, while the state service lets 60 changes a second through, as on the
// smaller of the deployments. Nothing is refused for long, nothing is forgotten.
func TestOneTaskJobsFourASecond(t *testing.T) {
	for name, trouble := range map[string]func(w *world) func(){
		"alone": func(*world) func() { return func() {} },
		"a controller ends and is back": func(w *world) func() {
			w.crash("host-0")
			return func() { w.start("host-0") }
		},
		"all end": func(w *world) func() { return w.end(w.hosts, time.Second) },
		"transactions are late": func(w *world) func() {
			for _, h := range w.hosts {
				w.port(h).SetFaults(0, 0.2)
			}
			return func() {
				for _, h := range w.hosts {
					w.port(h).SetFaults(0, 0)
				}
			}
		},
		"answers are lost": func(w *world) func() {
			for _, h := range w.hosts {
				w.port(h).SetLoseAnswersOnly(true)
				w.port(h).SetFaults(0, 0.2)
			}
			return func() {
				for _, h := range w.hosts {
					w.port(h).SetFaults(0, 0)
				}
			}
		},
		"one is refused": func(w *world) func() {
			w.port("host-1").SetRefuseAll(true)
			return func() { w.port("host-1").SetRefuseAll(false) }
		},
		"the state service is down": func(w *world) func() {
			w.state.SetOutage(true, false)
			return func() { w.state.SetOutage(false, false) }
		},
		"machines hang": func(w *world) func() {
			hung := map[*emulator.SimulatedMachine]bool{}
			w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
				if len(hung) < 5 {
					u.Hung, hung[u] = true, true
				}
			})
			return func() {
				w.fleet.ForEachMachine(func(_ string, u *emulator.SimulatedMachine) {
					if hung[u] {
						u.Hung = false
					}
				})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			storyOfMachines(t, 92, 5, 30, func(w *world) {
				for _, h := range w.hosts {
					w.port(h).SetChangeRate(20)
				}
				before := w.state.Changes()
				began := time.Now()
				var mu sync.Mutex
				var users sync.WaitGroup
				all, soon, cancelled := 0, 0, 0
				one := func(k int) {
					s := array(w.id(), 1)
					w.history.RecordSubmission(s)
					w.fleet.SetRunTimes(s.ID, 4*time.Second, 0)
					sent := time.Now()
					for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
						asked := w.history.StampRequest()
						code, status := w.call(w.any(), http.MethodPost, "/submissions", wireSpec(s), 5*time.Second)
						w.history.RecordResponse("submit", s.ID, asked, code, status)
						if code/100 == 2 {
							break
						}
					}
					mu.Lock()
					if all++; time.Since(sent) <= time.Second {
						soon++
					}
					mu.Unlock()
					go w.ask(s.ID)
					if k%4 == 0 {
						time.Sleep(time.Duration(k%12) * 400 * time.Millisecond)
						if w.cancel("", s.ID) {
							mu.Lock()
							cancelled++
							mu.Unlock()
						}
					}
				}
				var end func()
				for k := range 4 * 180 {
					switch k {
					case 4 * 60:
						end = trouble(w)
					case 4 * 85:
						end()
					}
					users.Go(func() { one(k) })
					time.Sleep(250 * time.Millisecond)
				}
				users.Wait()
				took := time.Since(began)
				share := float64(soon) / float64(all)
				w.t.Logf("%d of %d accepted within a second (%.3f), %d cancelled, %.1f changes a second, %d starts after a cancellation",
					soon, all, share, cancelled, float64(w.state.Changes()-before)/took.Seconds(), w.history.StartsAfterCancel())
				if name == "alone" && share < 0.99 || share < 0.7 {
					w.t.Errorf("%.3f were accepted within a second", share)
				}
				if cancelled < 120 {
					w.t.Errorf("%d jobs were cancelled: this shows little", cancelled)
				}
				w.history.RecordFaultsEnded()
				time.Sleep(2 * time.Minute)
				if id := w.history.UnansweredJob(10 * time.Second); id != "" {
					w.t.Errorf("no question about %s has been answered for 10 s", id)
				}
				w.history.CheckFinalState()
				w.check()
			})
		})
	}
}
