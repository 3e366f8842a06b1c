package integration

import (
	"sync"
	"testing"
	"time"

	"robinstack/emulator"
)

// Four single-task jobs per second are submitted for three minutes and a quarter of them is
// cancelled, with each kind of fault and without one. The state service accepts 60 changes per
// second, 20 from each controller, as in the smaller deployment. No submission may be rejected for
// long, and no job forgotten.
func TestFourSingleTaskJobsPerSecond(t *testing.T) {
	for name, inject := range map[string]func(b *testbed) func(){
		"no fault": func(*testbed) func() { return func() {} },
		"a controller restarts": func(b *testbed) func() {
			b.crash("host-0")
			return func() { b.start("host-0") }
		},
		"all controllers restart": func(b *testbed) func() { return b.crashFor(b.hosts, time.Second) },
		"transactions are delayed": func(b *testbed) func() {
			b.setStateFaults(0, 0.2)
			return func() {
				b.setStateFaults(0, 0)
			}
		},
		"responses are lost": func(b *testbed) func() {
			b.setLoseResponsesOnly(true)
			b.setStateFaults(0, 0.2)
			return func() {
				b.setStateFaults(0, 0)
			}
		},
		"the state service rejects a controller": func(b *testbed) func() {
			b.stateClient("host-1").SetRejectAll(true)
			return func() { b.stateClient("host-1").SetRejectAll(false) }
		},
		"the state service is down": func(b *testbed) func() {
			b.state.SetOutage(true, false)
			return func() { b.state.SetOutage(false, false) }
		},
		"machines hang": func(b *testbed) func() {
			hung := map[*emulator.SimulatedMachine]bool{}
			b.forEachMachine(func(m *emulator.SimulatedMachine) {
				if len(hung) < 5 {
					m.Hung, hung[m] = true, true
				}
			})
			return func() {
				b.forEachMachine(func(m *emulator.SimulatedMachine) {
					if hung[m] {
						m.Hung = false
					}
				})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenarioWithMachines(t, 92, 5, 30, func(b *testbed) {
				b.setChangeRate(20)
				before := b.state.Changes()
				began := time.Now()
				var mu sync.Mutex
				var users sync.WaitGroup
				submitted, acceptedSoon, cancelled := 0, 0, 0
				user := func(k int) {
					s := arrayJob(b.nextJobID(), 1)
					b.history.RecordSubmission(s)
					b.cloud.SetRunTimes(s.ID, 4*time.Second, 0)
					sent := time.Now()
					for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
						if code, _ := b.submitOnce(b.readyHost(), s.ID, submissionOf(s)); code/100 == 2 {
							break
						}
					}
					mu.Lock()
					if submitted++; time.Since(sent) <= time.Second {
						acceptedSoon++
					}
					mu.Unlock()
					go b.pollUntilFinal(s.ID)
					if k%4 == 0 {
						time.Sleep(time.Duration(k%12) * 400 * time.Millisecond)
						if b.cancel("", s.ID) {
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
						end = inject(b)
					case 4 * 85:
						end()
					}
					users.Go(func() { user(k) })
					time.Sleep(250 * time.Millisecond)
				}
				users.Wait()
				took := time.Since(began)
				share := float64(acceptedSoon) / float64(submitted)
				b.t.Logf("%d of %d accepted within a second (%.3f), %d cancelled, %.1f changes/s, %d starts after cancellation",
					acceptedSoon, submitted, share, cancelled,
					float64(b.state.Changes()-before)/took.Seconds(), b.history.StartsAfterCancel())
				if name == "no fault" && share < 0.99 || share < 0.7 {
					b.t.Errorf("accepted within a second: got %.3f of jobs, want 0.7, without a fault 0.99",
						share)
				}
				if cancelled < 120 {
					b.t.Errorf("scenario hardly exercised: %d jobs were cancelled, want at least 120", cancelled)
				}
				b.history.RecordFaultsEnded()
				time.Sleep(2 * time.Minute)
				if id := b.history.UnansweredJob(10 * time.Second); id != "" {
					b.t.Errorf("no query about %s was answered for 10 s", id)
				}
				b.history.CheckFinalState()
				b.checkNoViolations()
			})
		})
	}
}
