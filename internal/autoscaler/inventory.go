package autoscaler

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// Inventory is the state of the machines that have owners, as input of a plan.
type Inventory struct {
	Present map[string]bool // all machines that have owners

	bins            []*bin                   // machines that can take tasks
	idleFor         map[string]time.Duration // idle time of the machines in bins that have no tasks
	emptied         []string                 // draining or quarantined machines without tasks, to be returned
	lost            []LostMachine
	renotifyDeleted []string // deleted machines whose owners have to be notified again
	unreconciled    int
}

// LostMachine is a machine that will not come back.
type LostMachine struct {
	Machine string
	Reason  string
}

// BuildInventory classifies all machines that have owners.
func (f *Fleet) BuildInventory(snapshot *Snapshot) *Inventory {
	now := snapshot.Now
	inventory := &Inventory{Present: map[string]bool{}, idleFor: map[string]time.Duration{}}
	inventory.unreconciled = countUnreconciled(snapshot.Entries)
	for i := range snapshot.Entries {
		entry := &snapshot.Entries[i]
		inventory.Present[entry.Machine] = true
		f.recordArrival(entry.Machine, now)
		if f.isDeleted(entry.Machine) {
			if f.notificationDue(entry.Machine, now) {
				inventory.renotifyDeleted = append(inventory.renotifyDeleted, entry.Machine)
			}
			continue
		}
		if reason := f.lossReason(entry, inventory.unreconciled, snapshot); reason != "" {
			inventory.lost = append(inventory.lost, LostMachine{entry.Machine, reason})
			continue
		}
		inventory.add(entry, snapshot)
	}
	f.expireDeletions(now)
	return inventory
}

// add adds a machine that is neither deleted nor lost.
func (s *Inventory) add(entry *agentapi.MachineEntry, snapshot *Snapshot) {
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
	// deletionRetention is how long the record of a deleted machine is kept.
	deletionRetention = 10 * time.Minute
	// notificationInterval is how long the owner of a deleted machine has to remove the machine's
	// key before it is notified again.
	notificationInterval = 2 * time.Second
)

// deletion records when a machine was deleted and when its owner was last notified again.
type deletion struct {
	at         time.Time
	notifiedAt time.Time
}

func (f *Fleet) isDeleted(machine string) bool {
	_, deleted := f.deletions[machine]
	return deleted
}

// notificationDue reports whether the owner of a deleted machine whose key still exists has to be
// notified now, and records the notification. After the former owner was notified, another
// controller may have taken the machine over, or claimed it again by a delayed write. The new
// owner's entry, including the draining state, may be copied from the former owner, so it does not
// show that the new owner knows of the deletion.
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

// expireDeletions drops the records of machines that were deleted longer than deletionRetention
// ago.
func (f *Fleet) expireDeletions(now time.Time) {
	for machine, d := range f.deletions {
		if now.Sub(d.at) > deletionRetention {
			delete(f.deletions, machine)
			delete(f.unresponsiveSince, machine)
			f.list.remove(machine)
		}
	}
}
