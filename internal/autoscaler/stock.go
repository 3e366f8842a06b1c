package autoscaler

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// Stock is what a plan sees of the machines that have owners.
type Stock struct {
	Present map[string]bool // all of them

	bins         []*bin                   // those that serve
	idleFor      map[string]time.Duration // those of them without tasks
	emptied      []string                 // those to be returned that have no tasks any more
	lost         []LostMachine
	notify       []string // deleted ones whose owners may not know
	unreconciled int
}

// LostMachine is a machine that will not come back.
type LostMachine struct {
	Machine string
	Reason  string
}

// TakeStock goes through all machines that have owners.
func (f *Fleet) TakeStock(snapshot *Snapshot) *Stock {
	now := snapshot.Now
	stock := &Stock{Present: map[string]bool{}, idleFor: map[string]time.Duration{}}
	stock.unreconciled = countUnreconciled(snapshot.Entries)
	for i := range snapshot.Entries {
		entry := &snapshot.Entries[i]
		stock.Present[entry.Machine] = true
		f.noteArrival(entry.Machine, now)
		if f.isDeleted(entry.Machine) {
			if f.notificationDue(entry.Machine, now) {
				stock.notify = append(stock.notify, entry.Machine)
			}
			continue
		}
		if reason := f.lossReason(entry, stock.unreconciled, snapshot); reason != "" {
			stock.lost = append(stock.lost, LostMachine{entry.Machine, reason})
			continue
		}
		stock.add(entry, snapshot)
	}
	f.forgetDeletions(now)
	return stock
}

// add takes in a machine that is neither deleted nor lost.
func (s *Stock) add(entry *agentapi.MachineEntry, snapshot *Snapshot) {
	t, ok := snapshot.Types[entry.Type]
	if !ok || entry.Unresponsive() || entry.ReclaimNoticed() {
		return
	}
	if entry.Quarantined() || entry.Draining {
		if len(entry.Tasks) == 0 {
			s.emptied = append(s.emptied, entry.Machine)
		}
		return
	}
	b := &bin{
		Pool:  Pool{Type: entry.Type, Zone: entry.Zone, Spot: entry.Spot},
		name:  entry.Machine,
		free:  job.Capacity(t),
		empty: len(entry.Tasks) == 0,
	}
	for i := range entry.Tasks {
		if task := &entry.Tasks[i]; task.State != worker.TaskExited {
			b.free = b.free.AddScaled(task.Need, -1)
		}
	}
	if idle := entry.IdleFor(snapshot.Now); idle > 0 {
		s.idleFor[entry.Machine] = idle
	}
	s.bins = append(s.bins, b)
}

const (
	// deletionMemory is how long it is remembered that a machine was deleted.
	deletionMemory = 10 * time.Minute
	// notificationInterval is how long the owner of a deleted machine has to remove its
	// key before it is notified once more.
	notificationInterval = 2 * time.Second
)

// deletion is when a machine was deleted, and when its owner was notified once more.
type deletion struct {
	at         time.Time
	notifiedAt time.Time
}

func (f *Fleet) isDeleted(machine string) bool {
	_, deleted := f.deletions[machine]
	return deleted
}

// notificationDue reports whether the owner of a deleted machine, whose key is still there,
// is to be notified now, and takes that for done. The owner may have taken the machine over,
// or claimed it anew by a late write, after its former owner was notified; what it shows,
// draining included, may be what it took over.
func (f *Fleet) notificationDue(machine string, now time.Time) bool {
	d := f.deletions[machine]
	last := d.notifiedAt
	if last.IsZero() {
		last = d.at
	}
	if now.Sub(last) <= notificationInterval {
		return false
	}
	d.notifiedAt = now
	f.deletions[machine] = d
	return true
}

// forgetDeletions forgets machines that were deleted long ago.
func (f *Fleet) forgetDeletions(now time.Time) {
	for machine, d := range f.deletions {
		if now.Sub(d.at) > deletionMemory {
			delete(f.deletions, machine)
			delete(f.unresponsiveSince, machine)
			f.list.forget(machine)
		}
	}
}
