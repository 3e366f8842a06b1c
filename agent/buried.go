package agent

import (
	"time"

	"robinstack/statekv"
	"robinstack/worker"
)

// The keys of machines are removed only once the cloud has deleted them, and their
// names are never used again. A copy of a report that comes after that, minutes late,
// would look like that of a new machine: it would be claimed, written down, asked for an
// answer, and deleted once more.

// buried is a machine whose key was removed.
type buried struct{ at time.Time }

const (
	// buriedFor is how long it is kept in mind: copies come up to some leases late.
	buriedFor  = 10 * time.Minute
	mostBuried = 8000
)

// OnRemoved takes note of machines' keys that are removed.
func (a *Agent) OnRemoved(e statekv.Event) {
	if e.Delete == "" || len(e.Delete) <= len(statekv.MachinePrefix) || e.Delete[:len(statekv.MachinePrefix)] != statekv.MachinePrefix {
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.buried) >= mostBuried {
		for name, b := range a.buried {
			if now.Sub(b.at) > buriedFor || len(a.buried) >= mostBuried {
				delete(a.buried, name)
			}
		}
	}
	a.buried[e.Delete[len(statekv.MachinePrefix):]] = buried{now}
}

// isBuried reports whether a report is of a machine that is no more.
func (a *Agent) isBuried(r *worker.Report, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.buried[r.Machine]
	return ok && now.Sub(b.at) < buriedFor
}
