package scaletest

import (
	"context"
	"math/rand/v2"
	"time"

	"robinstack/emulator"
)

// scheduleMachineFaults injects the profile's machine faults at their times.
func (l *loadGenerator) scheduleMachineFaults(ctx context.Context) {
	for _, f := range l.plan.Profile.Faults {
		if f.Kind == ControllerFails {
			continue
		}
		time.AfterFunc(time.Until(l.startTime.Add(seconds(f.At))), func() {
			if ctx.Err() == nil {
				l.injectMachineFault(&f)
			}
		})
	}
}

// injectMachineFault kills the machines that a fault selects, or hangs them for the duration of the
// fault.
func (l *loadGenerator) injectMachineFault(f *Fault) {
	selected := map[*emulator.SimulatedMachine]bool{}
	for _, m := range f.selectMachines(l.runningMachines(f.Zone)) {
		selected[m] = true
	}
	forEachSelected := func(apply func(m *emulator.SimulatedMachine)) {
		l.cloud.ForEachMachine(func(_ string, m *emulator.SimulatedMachine) {
			if selected[m] {
				apply(m)
			}
		})
	}
	if f.Kind != WorkerHangs {
		forEachSelected((*emulator.SimulatedMachine).Fail)
		return
	}
	forEachSelected(func(m *emulator.SimulatedMachine) { m.Hung = true })
	time.AfterFunc(seconds(f.For), func() { forEachSelected(func(m *emulator.SimulatedMachine) { m.Hung = false }) })
}

// runningMachines lists the machines of a zone that are up, in the order of their creation; ""
// stands for all zones.
func (l *loadGenerator) runningMachines(zone string) (out []*emulator.SimulatedMachine) {
	l.cloud.ForEachMachine(func(_ string, m *emulator.SimulatedMachine) {
		if m.IsUp() && (zone == "" || m.Zone() == zone) {
			out = append(out, m)
		}
	})
	return out
}

// selectMachines selects the machines of a fault: random machines for single faults, consecutively
// created machines from a random one on for a rack, all machines for a zone.
func (f *Fault) selectMachines(machines []*emulator.SimulatedMachine) []*emulator.SimulatedMachine {
	switch f.Kind {
	case ZoneFails:
		return machines
	case RackFails:
		machines = machines[rand.IntN(max(1, len(machines)-f.Count+1)):]
	case WorkerFails, WorkerHangs:
		rand.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	}
	return machines[:min(len(machines), f.Count)]
}
