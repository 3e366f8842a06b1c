package integration

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
)

// fault is a kind of failure that can be injected at random.
type fault struct {
	name                         string
	minDurationS, durationRangeS int // a random duration from minDurationS to below their sum
	weight                       int // relative frequency
	inject                       injection
}

// injection causes a fault and returns a function that ends it.
type injection func(b *testbed, rng *rand.Rand) (end func())

// lastingFault returns a fault that lasts from minS to below maxS seconds.
func lastingFault(name string, minS, maxS, weight int, inject injection) fault {
	return fault{name, minS, maxS - minS, weight, inject}
}

// instantFault returns a fault without a duration.
func instantFault(name string, weight int, inject func(b *testbed, rng *rand.Rand)) fault {
	return fault{name, 0, 0, weight, func(b *testbed, rng *rand.Rand) func() {
		inject(b, rng)
		return func() {}
	}}
}

// randomDuration returns a random duration of the fault in seconds.
func (f *fault) randomDuration(rng *rand.Rand) int {
	if f.durationRangeS <= 0 {
		return f.minDurationS
	}
	return f.minDurationS + rng.IntN(f.durationRangeS)
}

// Names of faults that exclude others.
const (
	controllerRestarts = "a controller restarts"
	controllerDown     = "a controller is down"
	allDown            = "all controllers are down"
)

// excludes reports whether the other fault must not be injected while this one is active.
func (f *fault) excludes(other *fault) bool {
	return f.name == other.name || f.name == allDown || other.name == allDown ||
		f.name == controllerDown && other.name == controllerRestarts
}

// faults lists all kinds of failures. A seed selects faults by their position, so a changed order
// changes the runs of all seeds.
var faults = slices.Concat(controllerFaults, stateServiceFaults, networkFaults, machineFaults, userFaults)

// randomFault picks a fault at random, in proportion to the weights.
func randomFault(rng *rand.Rand) *fault {
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

func randomHost(b *testbed, rng *rand.Rand) string { return b.hosts[rng.IntN(len(b.hosts))] }

var controllerFaults = []fault{
	instantFault(controllerRestarts, 3, func(b *testbed, rng *rand.Rand) {
		h := randomHost(b, rng)
		b.crash(h)
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		b.start(h)
	}),
	lastingFault(controllerDown, 2, 60, 2, func(b *testbed, rng *rand.Rand) func() {
		h := randomHost(b, rng)
		b.crash(h)
		return func() { b.start(h) }
	}),
	lastingFault(allDown, 0, 8, 1, func(b *testbed, rng *rand.Rand) func() {
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
	lastingFault("the state service rejects a controller", 1, 90, 3, func(b *testbed, rng *rand.Rand) func() {
		h := randomHost(b, rng)
		b.stateClient(h).SetRejectAll(true)
		return func() { b.stateClient(h).SetRejectAll(false) }
	}),
	lastingFault("the state service is down", 1, 80, 2, func(b *testbed, _ *rand.Rand) func() {
		b.state.SetOutage(true, false)
		return func() { b.state.SetOutage(false, false) }
	}),
	lastingFault("the state service is slow", 5, 40, 1, func(b *testbed, rng *rand.Rand) func() {
		b.setStateFaults(time.Duration(100+rng.IntN(1500))*time.Millisecond, 0)
		return func() { b.setStateFaults(0, 0) }
	}),
	lastingFault("transactions are delayed", 10, 60, 3, func(b *testbed, rng *rand.Rand) func() {
		b.setStateFaults(0, 0.1+0.5*rng.Float64())
		return func() { b.setStateFaults(0, 0) }
	}),
}

var networkFaults = []fault{
	lastingFault("a controller is partitioned from state and peers", 5, 90, 3, func(b *testbed, rng *rand.Rand) func() {
		h := randomHost(b, rng)
		b.stateClient(h).SetRejectAll(true)
		b.network.setPartitioned(h, true)
		return func() {
			b.stateClient(h).SetRejectAll(false)
			b.network.setPartitioned(h, false)
		}
	}),
	lastingFault("a controller is partitioned from peers", 5, 90, 2, func(b *testbed, rng *rand.Rand) func() {
		h := randomHost(b, rng)
		b.network.setPartitioned(h, true)
		return func() { b.network.setPartitioned(h, false) }
	}),
	lastingFault("calls of peers to a controller are lost", 5, 60, 1, func(b *testbed, rng *rand.Rand) func() {
		h := randomHost(b, rng)
		b.network.setInboundLost(h, true)
		return func() { b.network.setInboundLost(h, false) }
	}),
	lastingFault("heartbeats to a controller are lost", 5, 60, 1, func(b *testbed, rng *rand.Rand) func() {
		h := randomHost(b, rng)
		b.setUnreachableByWorkers(h, true)
		return func() { b.setUnreachableByWorkers(h, false) }
	}),
}

// onShareOfMachines applies a fault to a random share of the machines.
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

func setResponsesDelayed(m *emulator.SimulatedMachine, on bool) {
	m.ResponseDelay = 0
	if on {
		m.ResponseDelay = 3 * time.Second
	}
}

var machineFaults = []fault{
	lastingFault("responses and commands to machines are lost", 3, 60, 2, onShareOfMachines(0.4, setInboundLost)),
	lastingFault("commands are lost", 3, 60, 2, onShareOfMachines(0.4, setCommandsLost)),
	lastingFault("machines hang", 2, 60, 2, onShareOfMachines(0.3, setHung)),
	lastingFault("commands are delayed", 5, 30, 2, onShareOfMachines(0.5, setCommandsDelayed)),
	lastingFault("responses to heartbeats are delayed", 5, 30, 2, onShareOfMachines(0.5, setResponsesDelayed)),
	instantFault("duplicate heartbeats arrive late", 4, func(b *testbed, rng *rand.Rand) {
		h := randomHost(b, rng)
		b.forEachMachine(func(m *emulator.SimulatedMachine) {
			if rng.IntN(2) == 0 {
				m.SendDuplicateHeartbeat(h)
			}
		})
	}),
	lastingFault("responses to applied transactions are lost", 10, 60, 3, func(b *testbed, rng *rand.Rand) func() {
		b.setLoseResponsesOnly(true)
		b.setStateFaults(0, 0.1+0.6*rng.Float64())
		return func() {
			b.setLoseResponsesOnly(false)
			b.setStateFaults(0, 0)
		}
	}),
	lastingFault("heartbeats are lost", 3, 70, 2, onShareOfMachines(0.4, setHeartbeatsLost)),
	lastingFault("captured heartbeats are replayed to the next owner", 5, 50, 3, replayHeartbeatsAfterRestart),
}

// replayHeartbeatsAfterRestart captures heartbeats when it is injected. When the fault ends, it
// sends them repeatedly while a controller restarts.
func replayHeartbeatsAfterRestart(b *testbed, rng *rand.Rand) func() {
	b.forEachMachine(func(m *emulator.SimulatedMachine) { m.CaptureHeartbeat() })
	return func() {
		if h := randomHost(b, rng); b.isUp(h) {
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
	lastingFault("jobs on hung machines are cancelled", 5, 45, 2, cancelJobsOnHungMachines),
	lastingFault("jobs are cancelled while they complete", 5, 40, 2, func(b *testbed, _ *rand.Rand) func() {
		k := 0
		b.cloud.OnTaskCompleted(func(task string) {
			id, _, _ := job.SplitTaskID(task)
			k++
			time.Sleep(time.Duration(k*37%400) * time.Millisecond)
			b.cancel("", id)
		})
		return func() { b.cloud.OnTaskCompleted(nil) }
	}),
	lastingFault("users query frequently", 5, 30, 2, func(b *testbed, rng *rand.Rand) func() {
		return b.repeat(rng.IntN(1000), 2*time.Second, func(k int) {
			if ids := b.history.AcceptedJobIDs(); len(ids) > 0 {
				s, _ := b.history.SubmittedSpec(ids[k*7%len(ids)])
				if k%3 == 0 {
					b.cancelPromptly(b.hosts[k%3], s.ID)
				}
				var counts queryCounts
				b.queryFrequently(s, &counts)
			}
		})
	}),
	lastingFault("users resubmit jobs and submit invalid ones", 5, 30, 1, func(b *testbed, rng *rand.Rand) func() {
		return b.repeat(rng.IntN(1000), 700*time.Millisecond, func(k int) {
			if ids := b.history.AcceptedJobIDs(); len(ids) > 0 {
				s, _ := b.history.SubmittedSpec(ids[k*5%len(ids)])
				b.resubmit(b.hosts[k%3], s)
			}
			invalid := arrayJob(b.nextJobID(), 1)
			b.history.RecordInvalidSubmission(invalid)
			invalid.GPUs = 3
			b.submitOnce(b.hosts[(k+1)%3], invalid.ID, submissionOf(invalid))
		})
	}),
	lastingFault("single-task jobs are submitted", 5, 20, 1, func(b *testbed, _ *rand.Rand) func() {
		return b.repeat(0, 500*time.Millisecond, func(k int) {
			s := arrayJob(b.nextJobID(), 1)
			go func() {
				if b.submit("", s, 3*time.Second) && k%4 == 0 {
					b.cancel("", s.ID)
				}
			}()
		})
	}),
	instantFault("a machine fails", 1, func(b *testbed, rng *rand.Rand) {
		at := rng.IntN(8)
		b.forEachMachine(func(m *emulator.SimulatedMachine) {
			if at--; at == 0 {
				m.Fail()
			}
		})
	}),
}

// repeat calls do at an interval with increasing numbers, starting with first, until it is stopped.
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

// cancelJobsOnHungMachines makes up to four machines hang and cancels the jobs on them.
func cancelJobsOnHungMachines(b *testbed, rng *rand.Rand) func() {
	hung := map[string]bool{}
	for _, id := range b.history.AcceptedJobIDs() {
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
