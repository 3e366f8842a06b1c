package clusteragent

import (
	"time"

	"robinstack/internal/worker"
)

// The keys of machines are removed only once the cloud has deleted them, and their
// names are never used again. A copy of a report that comes after that, minutes late,
// would look like that of a new machine: it would be claimed, written down, asked for an
// answer, and deleted once more.

const (
	// tombstoneTime is how long such a machine is kept in mind: copies come up to some leases late.
	tombstoneTime = 10 * time.Minute
	maxTombstones = 8000
)

// OnMachineRemoved takes note of a machine whose key was removed.
func (a *Agent) OnMachineRemoved(machine string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.tombstones) >= maxTombstones {
		for name, at := range a.tombstones {
			if now.Sub(at) > tombstoneTime || len(a.tombstones) >= maxTombstones {
				delete(a.tombstones, name)
			}
		}
	}
	a.tombstones[machine] = now
}

// isTombstoned reports whether a report is of a machine that is no more.
func (a *Agent) isTombstoned(r *worker.Heartbeat, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.tombstones[r.Machine]
	return ok && now.Sub(at) < tombstoneTime
}
