package leader

import (
	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// account is what a task takes of its team's limit.
type account struct {
	team string
	need job.Need
}

type permit struct {
	account
	slot  string
	epoch uint64
}

// ledger counts what the teams hold and are permitted to start. Its sums follow
// each change, so that a permit costs the same in a fleet of any size.
type ledger struct {
	permits map[agentapi.TaskRef]permit
	held    map[string]map[agentapi.TaskRef]account // per machine
	dark    map[string]bool                         // machines with tasks of unknown teams
	sums    map[string]job.Need                     // per team: held and permitted
}

func newLedger() ledger {
	return ledger{permits: map[agentapi.TaskRef]permit{}, held: map[string]map[agentapi.TaskRef]account{}, dark: map[string]bool{}, sums: map[string]job.Need{}}
}

func (l *ledger) book(a account, k float64) { l.sums[a.team] = l.sums[a.team].AddScaled(a.need, k) }

// resum adds everything up anew: sums of fractions drift with time.
func (l *ledger) resum() {
	clear(l.sums)
	for _, tasks := range l.held {
		for _, a := range tasks {
			l.book(a, 1)
		}
	}
	for _, p := range l.permits {
		l.book(p.account, 1)
	}
}

func (l *ledger) grant(ref agentapi.TaskRef, p permit) {
	l.release(ref)
	l.permits[ref] = p
	l.book(p.account, 1)
}

func (l *ledger) release(ref agentapi.TaskRef) {
	if p, ok := l.permits[ref]; ok {
		delete(l.permits, ref)
		l.book(p.account, -1)
	}
}

// releaseSlot gives back what a slot's earlier placers did not use.
func (l *ledger) releaseSlot(slot string, epoch uint64) {
	for ref, p := range l.permits {
		if p.slot == slot && p.epoch < epoch {
			l.release(ref)
		}
	}
}

func (l *ledger) clearPermits() {
	clear(l.permits)
	l.resum()
}

// drop takes a machine that is gone out of the books.
func (l *ledger) drop(machine string) {
	for _, a := range l.held[machine] {
		l.book(a, -1)
	}
	delete(l.held, machine)
	delete(l.dark, machine)
}

func (l *ledger) onEntry(e *agentapi.MachineEntry) {
	if e.Gone {
		l.drop(e.Machine)
		return
	}
	old := l.held[e.Machine]
	now := map[agentapi.TaskRef]account{}
	if !e.Settled {
		// An earlier owner's starts may not have shown up yet.
		for ref, a := range old {
			now[ref] = a
		}
	}
	for i := range e.Tasks {
		t := &e.Tasks[i]
		if t.State == worker.TaskExited {
			delete(now, t.TaskRef)
			l.release(t.TaskRef)
			continue
		}
		a := account{team: t.Team, need: t.Need}
		if !t.Known {
			a = old[t.TaskRef]
			if p, ok := l.permits[t.TaskRef]; ok {
				a = p.account
			}
		}
		now[t.TaskRef] = a
	}
	for ref := range now {
		l.release(ref)
	}
	l.drop(e.Machine)
	l.held[e.Machine] = now
	for _, a := range now {
		l.book(a, 1)
		if a.team == "" {
			l.dark[e.Machine] = true
		}
	}
}
