package scaletest

import (
	"context"
	"math/rand/v2"
	"time"

	"robinstack/emulator"
)

// scheduleFaults has machines fail at their times.
func (l *load) scheduleFaults(ctx context.Context) {
	for _, f := range l.plan.Profile.Faults {
		if f.Kind == ControllerFails {
			continue
		}
		time.AfterFunc(time.Until(l.startTime.Add(seconds(f.At))), func() {
			if ctx.Err() == nil {
				l.failMachines(&f)
			}
		})
	}
}

// failMachines has a fault's machines fail. Those that hang go on after its time.
func (l *load) failMachines(f *Fault) {
	failing := map[*emulator.SimulatedMachine]bool{}
	for _, m := range f.choose(l.machinesIn(f.Zone)) {
		failing[m] = true
	}
	change := func(do func(m *emulator.SimulatedMachine)) {
		l.cloud.ForEachMachine(func(_ string, m *emulator.SimulatedMachine) {
			if failing[m] {
				do(m)
			}
		})
	}
	if f.Kind != WorkerHangs {
		change((*emulator.SimulatedMachine).Kill)
		return
	}
	change(func(m *emulator.SimulatedMachine) { m.Hung = true })
	time.AfterFunc(seconds(f.For), func() { change(func(m *emulator.SimulatedMachine) { m.Hung = false }) })
}

// machinesIn lists the machines that are up in a zone ("": in all), in the order in which
// they were rented.
func (l *load) machinesIn(zone string) (out []*emulator.SimulatedMachine) {
	l.cloud.ForEachMachine(func(_ string, m *emulator.SimulatedMachine) {
		if m.IsUp() && (zone == "" || m.Zone() == zone) {
			out = append(out, m)
		}
	})
	return out
}

// choose draws the machines that fail: single ones, those rented one after the other from a
// drawn one on, or all of a zone.
func (f *Fault) choose(machines []*emulator.SimulatedMachine) []*emulator.SimulatedMachine {
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
