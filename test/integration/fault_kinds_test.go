package integration

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// fault is one kind of failure.
type fault struct {
	name                         string
	minDurationS, durationRangeS int // it lasts at least, and less than so much longer
	weight                       int // how often it is drawn, against the others
	inject                       injection
}

// injection causes a fault and returns what ends it.
type injection func(b *testbed, rng *rand.Rand) (end func())

// lasting is a fault that lasts from one number of seconds to below another.
func lasting(name string, minS, maxS, weight int, inject injection) fault {
	return fault{name, minS, maxS - minS, weight, inject}
}

// momentary is a fault that is over at once.
func momentary(name string, weight int, inject func(b *testbed, rng *rand.Rand)) fault {
	return fault{name, 0, 0, weight, func(b *testbed, rng *rand.Rand) func() {
		inject(b, rng)
		return func() {}
	}}
}

// drawDuration draws how long the fault lasts, in seconds.
func (f *fault) drawDuration(rng *rand.Rand) int {
	if f.durationRangeS <= 0 {
		return f.minDurationS
	}
	return f.minDurationS + rng.IntN(f.durationRangeS)
}

// Faults that exclude others.
const (
	controllerRestarts = "a controller is back within a fraction of a second"
	controllerDown     = "a controller is down"
	allDown            = "all controllers end"
)

// excludes reports whether a fault that goes on excludes one that is drawn.
func (f *fault) excludes(drawn *fault) bool {
	return f.name == drawn.name || f.name == allDown || drawn.name == allDown ||
		f.name == controllerDown && drawn.name == controllerRestarts
}

// faults are all kinds of failures. Their order decides what a seed draws.
var faults = slices.Concat(controllerFaults, stateServiceFaults, networkFaults, machineFaults, userFaults)

// drawFault draws one by its weight.
func drawFault(rng *rand.Rand) *fault {
	sum := 0
	for k := range faults {
		sum += faults[k].weight
	}
	n := rng.IntN(sum)
	for k := range faults {
		if n -= faults[k].weight; n < 0 {
			return &faults[k]
		}
	}
	return &faults[0]
}

func drawHost(b *testbed, rng *rand.Rand) string { return b.hosts[rng.IntN(len(b.hosts))] }

var controllerFaults = []fault{
	momentary(controllerRestarts, 3, func(b *testbed, rng *rand.Rand) {
		h := drawHost(b, rng)
		b.crash(h)
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		b.start(h)
	}),
	lasting(controllerDown, 2, 60, 2, func(b *testbed, rng *rand.Rand) func() {
		h := drawHost(b, rng)
		b.crash(h)
		return func() { b.start(h) }
	}),
	lasting(allDown, 0, 8, 1, func(b *testbed, rng *rand.Rand) func() {
		for _, h := range b.hosts {
			b.crash(h)
		}
		return func() {
			for _, h := range b.hosts {
				b.start(h)
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			}
		}
	}),
}

var stateServiceFaults = []fault{
	lasting("the state service refuses one", 1, 90, 3, func(b *testbed, rng *rand.Rand) func() {
		h := drawHost(b, rng)
		b.stateClient(h).SetRefuseAll(true)
		return func() { b.stateClient(h).SetRefuseAll(false) }
	}),
	lasting("the state service is down", 1, 80, 2, func(b *testbed, _ *rand.Rand) func() {
		b.state.SetOutage(true, false)
		return func() { b.state.SetOutage(false, false) }
	}),
	lasting("the state service is slow", 5, 40, 1, func(b *testbed, rng *rand.Rand) func() {
		b.setStateFaults(time.Duration(100+rng.IntN(1500))*time.Millisecond, 0)
		return func() { b.setStateFaults(0, 0) }
	}),
	lasting("transactions are delayed", 10, 60, 3, func(b *testbed, rng *rand.Rand) func() {
		b.setStateFaults(0, 0.1+0.5*rng.Float64())
		return func() { b.setStateFaults(0, 0) }
	}),
}

var networkFaults = []fault{
	lasting("one is partitioned from state and peers", 5, 90, 3, func(b *testbed, rng *rand.Rand) func() {
		h := drawHost(b, rng)
		b.stateClient(h).SetRefuseAll(true)
		b.network.setPartitioned(h, true)
		return func() {
			b.stateClient(h).SetRefuseAll(false)
			b.network.setPartitioned(h, false)
		}
	}),
	lasting("one is partitioned from peers", 5, 90, 2, func(b *testbed, rng *rand.Rand) func() {
		h := drawHost(b, rng)
		b.network.setPartitioned(h, true)
		return func() { b.network.setPartitioned(h, false) }
	}),
	lasting("peers do not reach one", 5, 60, 1, func(b *testbed, rng *rand.Rand) func() {
		h := drawHost(b, rng)
		b.network.setInboundLost(h, true)
		return func() { b.network.setInboundLost(h, false) }
	}),
	lasting("workers do not reach one", 5, 60, 1, func(b *testbed, rng *rand.Rand) func() {
		h := drawHost(b, rng)
		b.setUnreachableByWorkers(h, true)
		return func() { b.setUnreachableByWorkers(h, false) }
	}),
}

// onShareOfMachines has some of the machines changed, and changed back.
func onShareOfMachines(share float64, set func(m *emulator.SimulatedMachine, on bool)) injection {
	return func(b *testbed, rng *rand.Rand) func() {
		affected := map[*emulator.SimulatedMachine]bool{}
		b.forEachMachine(func(m *emulator.SimulatedMachine) {
			if rng.Float64() < share {
				affected[m] = true
				set(m, true)
			}
		})
		return func() {
			b.forEachMachine(func(m *emulator.SimulatedMachine) {
				if affected[m] {
					set(m, false)
				}
			})
		}
	}
}

func setInboundLost(m *emulator.SimulatedMachine, on bool)    { m.InboundLost = on }
func setCommandsLost(m *emulator.SimulatedMachine, on bool)   { m.CommandsLost = on }
func setHeartbeatsLost(m *emulator.SimulatedMachine, on bool) { m.HeartbeatsLost = on }
func setHung(m *emulator.SimulatedMachine, on bool)           { m.Hung = on }

func setCommandsDelayed(m *emulator.SimulatedMachine, on bool) {
	m.CommandDelay = 0
	if on {
		m.CommandDelay = 3500 * time.Millisecond
	}
}

func setAnswersDelayed(m *emulator.SimulatedMachine, on bool) {
	m.AnswerDelay = 0
	if on {
		m.AnswerDelay = 3 * time.Second
	}
}

var machineFaults = []fault{
	lasting("machines get no answers and commands", 3, 60, 2, onShareOfMachines(0.4, setInboundLost)),
	lasting("commands are lost", 3, 60, 2, onShareOfMachines(0.4, setCommandsLost)),
	lasting("machines hang", 2, 60, 2, onShareOfMachines(0.3, setHung)),
	lasting("commands are delayed", 5, 30, 2, onShareOfMachines(0.5, setCommandsDelayed)),
	lasting("answers are delayed", 5, 30, 2, onShareOfMachines(0.5, setAnswersDelayed)),
	momentary("duplicate heartbeats arrive late", 4, func(b *testbed, rng *rand.Rand) {
		h := drawHost(b, rng)
		b.forEachMachine(func(m *emulator.SimulatedMachine) {
			if rng.IntN(2) == 0 {
				m.SendDuplicateHeartbeat(h)
			}
		})
	}),
	lasting("only answers of the state service are lost", 10, 60, 3, func(b *testbed, rng *rand.Rand) func() {
		b.setLoseAnswersOnly(true)
		b.setStateFaults(0, 0.1+0.6*rng.Float64())
		return func() {
			b.setLoseAnswersOnly(false)
			b.setStateFaults(0, 0)
		}
	}),
	lasting("heartbeats are lost", 3, 70, 2, onShareOfMachines(0.4, setHeartbeatsLost)),
	lasting("heartbeats are captured for the next owner", 5, 50, 3, injectCapturedHeartbeats),
}

// injectCapturedHeartbeats captures heartbeats now, and has them arrive at the end, while a
// controller restarts.
func injectCapturedHeartbeats(b *testbed, rng *rand.Rand) func() {
	b.forEachMachine(func(m *emulator.SimulatedMachine) { m.CaptureHeartbeat() })
	return func() {
		if h := drawHost(b, rng); b.isUp(h) {
			b.crash(h)
			go func() {
				time.Sleep(time.Duration(rng.IntN(2)*rng.IntN(1500)) * time.Millisecond)
				b.start(h)
			}()
		}
		go func() {
			for range 8 {
				b.sendCapturedHeartbeats()
				time.Sleep(600 * time.Millisecond)
			}
		}()
	}
}

var userFaults = []fault{
	lasting("jobs are cancelled as their machines hang", 5, 45, 2, injectCancelledOnHungMachines),
	lasting("jobs are cancelled as they complete", 5, 40, 2, func(b *testbed, _ *rand.Rand) func() {
		k := 0
		b.cloud.OnTaskCompleted(func(task string) {
			id, _, _ := job.SplitTaskID(task)
			k++
			time.Sleep(time.Duration(k*37%400) * time.Millisecond)
			b.cancel("", id)
		})
		return func() { b.cloud.OnTaskCompleted(nil) }
	}),
	lasting("users query frequently", 5, 30, 2, func(b *testbed, rng *rand.Rand) func() {
		return b.repeat(rng.IntN(1000), 2*time.Second, func(k int) {
			if ids := b.history.AcceptedJobs(); len(ids) > 0 {
				s, _ := b.history.Spec(ids[k*7%len(ids)])
				if k%3 == 0 {
					b.cancelPromptly(b.hosts[k%3], s.ID)
				}
				var counts queryCounts
				b.queryClosely(s, &counts)
			}
		})
	}),
	lasting("users resubmit, and submit what is invalid", 5, 30, 1, func(b *testbed, rng *rand.Rand) func() {
		return b.repeat(rng.IntN(1000), 700*time.Millisecond, func(k int) {
			if ids := b.history.AcceptedJobs(); len(ids) > 0 {
				s, _ := b.history.Spec(ids[k*5%len(ids)])
				b.resubmit(b.hosts[k%3], s)
			}
			invalid := arrayJob(b.nextJobID(), 1)
			b.history.RecordInvalidSubmission(invalid)
			invalid.GPUs = 3
			b.submitOnce(b.hosts[(k+1)%3], invalid.ID, submissionOf(invalid))
		})
	}),
	lasting("single-task jobs come", 5, 20, 1, func(b *testbed, _ *rand.Rand) func() {
		return b.repeat(0, 500*time.Millisecond, func(k int) {
			s := arrayJob(b.nextJobID(), 1)
			go func() {
				if b.submit("", s, 3*time.Second) && k%4 == 0 {
					b.cancel("", s.ID)
				}
			}()
		})
	}),
	momentary("a machine stops with all that is on it", 1, func(b *testbed, rng *rand.Rand) {
		at := rng.IntN(8)
		b.forEachMachine(func(m *emulator.SimulatedMachine) {
			if at--; at == 0 {
				m.Kill()
			}
		})
	}),
}

// repeat does something again and again, with numbers from first on, until it is stopped.
func (b *testbed) repeat(first int, interval time.Duration, do func(k int)) (stop func()) {
	ctx, stop := context.WithCancel(b.ctx)
	go func() {
		for k := first; ctx.Err() == nil; k++ {
			do(k)
			time.Sleep(interval)
		}
	}()
	return stop
}

// injectCancelledOnHungMachines has up to four machines hang and their jobs cancelled.
func injectCancelledOnHungMachines(b *testbed, rng *rand.Rand) func() {
	hung := map[string]bool{}
	for _, id := range b.history.AcceptedJobs() {
		machine := b.history.MachineOfFirstTask(id)
		if machine != "" && len(hung) < 4 && rng.IntN(2) == 0 {
			hung[machine] = true
			b.withMachine(machine, func(m *emulator.SimulatedMachine) { m.Hung = true })
			go b.cancel("", id)
		}
	}
	return func() {
		for machine := range hung {
			b.withMachine(machine, func(m *emulator.SimulatedMachine) { m.Hung = false })
		}
	}
}
