package clusteragent

import "time"

// The key of a machine is removed only after the cloud has deleted the machine, and machine names
// are not reused. A duplicate of a heartbeat that arrives minutes after the removal would look like
// the heartbeat of a new machine: the machine would be claimed, its key written, its worker probed,
// and the machine deleted again.

const (
	// tombstoneRetention is how long the removal of a machine's key is remembered: duplicates of
	// heartbeats arrive up to a few lease durations late.
	tombstoneRetention = 10 * time.Minute
	maxTombstones      = 8000
)

// OnMachineRemoved records that the key of a machine was removed.
func (a *Agent) OnMachineRemoved(machine string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tombstones.add(machine, now)
}

// isTombstoned reports whether the key of a machine was removed within tombstoneRetention.
func (a *Agent) isTombstoned(machine string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tombstones.containsRecent(machine, now)
}
