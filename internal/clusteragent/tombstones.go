package clusteragent

import "time"

// The keys of machines are removed only once the cloud has deleted them, and their
// names are never used again. A copy of a heartbeat that comes after that, minutes late,
// would look like that of a new machine: it would be claimed, written down, asked for an
// answer, and deleted once more.

const (
	// tombstoneTime is how long such a machine is remembered: copies come up to some leases late.
	tombstoneTime = 10 * time.Minute
	maxTombstones = 8000
)

// OnMachineRemoved takes note of a machine whose key was removed.
func (a *Agent) OnMachineRemoved(machine string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tombstones.add(machine, now)
}

// isTombstoned reports whether the key of a machine was removed lately.
func (a *Agent) isTombstoned(machine string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tombstones.recent(machine, now)
}
