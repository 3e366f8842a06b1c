package integration

import (
	"sync"
	"testing"
	"time"

	"robinstack/emulator"
)

// Jobs of one task come four a second for minutes, and a quarter are cancelled, alone and
// with each other fault, while the state service lets 60 changes a second through, as on the
// smaller of the deployments. Nothing is refused for long, nothing is forgotten.
func TestFourSingleTaskJobsPerSecond(t *testing.T) {
	for name, inject := range map[string]func(b *testbed) func(){
		"alone": func(*testbed) func() { return func() {} },
		"a controller restarts": func(b *testbed) func() {
			b.crash("host-0")
			return func() { b.start("host-0") }
		},
		"all end": func(b *testbed) func() { return b.stopFor(b.hosts, time.Second) },
		"transactions are delayed": func(b *testbed) func() {
			b.setStateFaults(0, 0.2)
			return func() {
				b.setStateFaults(0, 0)
			}
		},
		"answers are lost": func(b *testbed) func() {
			b.setLoseAnswersOnly(true)
			b.setStateFaults(0, 0.2)
			return func() {
				b.setStateFaults(0, 0)
			}
		},
		"one is refused": func(b *testbed) func() {
			b.stateClient("host-1").SetRefuseAll(true)
			return func() { b.stateClient("host-1").SetRefuseAll(false) }
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
				all, acceptedSoon, cancelled := 0, 0, 0
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
					if all++; time.Since(sent) <= time.Second {
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
				share := float64(acceptedSoon) / float64(all)
				b.t.Logf("%d of %d accepted within a second (%.3f), %d cancelled, %.1f changes a second, %d starts after a cancellation",
					acceptedSoon, all, share, cancelled, float64(b.state.Changes()-before)/took.Seconds(), b.history.StartsAfterCancel())
				if name == "alone" && share < 0.99 || share < 0.7 {
					b.t.Errorf("%.3f were accepted within a second", share)
				}
				if cancelled < 120 {
					b.t.Errorf("%d jobs were cancelled: this shows little", cancelled)
				}
				b.history.RecordFaultsEnded()
				time.Sleep(2 * time.Minute)
				if id := b.history.UnansweredJob(10 * time.Second); id != "" {
					b.t.Errorf("no question about %s has been answered for 10 s", id)
				}
				b.history.CheckFinalState()
				b.checkNoViolations()
			})
		})
	}
}
