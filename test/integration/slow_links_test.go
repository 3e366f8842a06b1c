package integration

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// Commands and responses to heartbeats arrive later than any timeout and are then still executed.
// Meanwhile the owner or its session changes, or the machines get a new worker epoch.
func TestDelayedCommandsAcrossFailover(t *testing.T) {
	for name, change := range map[string]func(b *testbed){
		"fencing token": func(*testbed) {},
		"owner":         func(b *testbed) { b.crash("host-0"); time.Sleep(10 * time.Second); b.start("host-0") },
		"session":       func(b *testbed) { b.crash("host-0"); time.Sleep(200 * time.Millisecond); b.start("host-0") },
		"worker epoch": func(b *testbed) {
			b.forEachMachine(func(m *emulator.SimulatedMachine) { m.InboundLost = true })
			time.Sleep(35 * time.Second)
			b.forEachMachine(func(m *emulator.SimulatedMachine) { m.InboundLost = false })
		},
	} {
		for _, delay := range []time.Duration{2500 * time.Millisecond, 6 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprint(name, " ", delay), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 13, func(b *testbed) {
					b.startRunningJob("host-0", "a", job.Array) // so that machines are up
					b.forEachMachine(func(m *emulator.SimulatedMachine) {
						m.CommandDelay, m.ResponseDelay = delay, min(delay, 3*time.Second)
					})
					var ids []string
					for k := range 6 {
						s := inZone("a", arrayJob(b.nextJobID(), 1+k%2))
						if k%3 == 2 {
							s = withShape(job.Gang, s)
						}
						ids = append(ids, s.ID)
						go b.submit("", s, 2*time.Second)
						time.Sleep(time.Second)
					}
					change(b)
					go b.cancel("", ids[0])
					time.Sleep(25 * time.Second)
					b.forEachMachine(func(m *emulator.SimulatedMachine) { m.CommandDelay, m.ResponseDelay = 0, 0 })
					b.cancel("", "wk-000001")
					time.Sleep(6 * time.Minute)
					b.history.CheckFinalState()
					b.checkNoViolations()
				})
			})
		}
	}
}

// There is more work than capacity, and commands, responses and the state service are slow. Jobs of
// the highest rank must start first, no task may run twice, and all jobs must finish.
func TestOverloadWithSlowLinks(t *testing.T) {
	runScenario(t, 104, func(b *testbed) {
		b.setStateFaults(300*time.Millisecond, 0)
		setSlow := func(on bool) {
			b.forEachMachine(func(m *emulator.SimulatedMachine) {
				m.CommandDelay, m.ResponseDelay = 0, 0
				if on {
					m.CommandDelay, m.ResponseDelay = time.Second, 700*time.Millisecond
				}
			})
		}
		go func() {
			for b.ctx.Err() == nil && time.Since(b.history.StartTime()) < 3*time.Minute {
				setSlow(true)
				time.Sleep(time.Second)
			}
			setSlow(false)
		}()
		var urgent, other []job.Spec
		for k := range 30 {
			s := arrayJob(b.nextJobID(), 2)
			if k%5 == 4 {
				s.Rank = "production"
				urgent = append(urgent, s)
			} else {
				if k%5 == 3 {
					s = withShape(job.Gang, s)
				}
				other = append(other, s)
			}
			go b.submit("", s, 25*time.Second)
			time.Sleep(400 * time.Millisecond)
		}
		waitingObservations := 0
		for range 60 {
			time.Sleep(time.Second)
			for _, s := range other {
				if b.history.TasksOnMachines(s.ID) == 0 {
					waitingObservations++
				}
			}
		}
		if waitingObservations < 60 {
			b.t.Errorf("scenario hardly exercised: %d observations of a waiting job, want at least 60",
				waitingObservations)
		}
		for _, s := range urgent {
			if b.history.TasksOnMachines(s.ID) == 0 && !b.history.TaskCompleted(job.TaskID(s.ID, 0)) {
				b.t.Errorf("the job %s of the highest rank has not started after a minute", s.ID)
			}
		}
		time.Sleep(2 * time.Minute)
		b.setStateFaults(0, 0)
		b.history.RecordFaultsEnded()
		time.Sleep(8 * time.Minute)
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}
