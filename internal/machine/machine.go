// Package machine models one machine as its owner sees it: the tasks that are or may be on it, free
// capacity, whether heartbeats and commands get through, and whether task failures are attributed
// to the machine. It is a state machine without I/O, locks and goroutines: each transition gets an
// event and its time as arguments, and the caller sends the resulting commands. Finished tasks and
// quarantined machines are logged, because the audit tool evaluates these lines.
//
// A Machine owns its tasks. The mutex of Agent in package clusteragent guards it. The package may
// import the messages of workers and agents, jobs and machine types, but nothing that does I/O.
package machine

import (
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/worker"
)

// Identity holds the properties that the machine's key defines. They do not change during an
// ownership.
type Identity struct {
	Name    string
	Address string
	Type    string
	Zone    string
	Spot    bool
}

// Machine is the state of one machine as its owner sees it.
type Machine struct {
	Identity
	Ownership   Ownership
	Liveness    Liveness
	Quarantine  Quarantine
	Images      Images
	GangHold    GangHold
	Reservation Reservation

	// OnUsageChange is called when free capacity may have changed. It may be nil.
	OnUsageChange func()
	// OnAdopt is called with each task that a heartbeat lists and that was not on the machine before. It may
	// be nil.
	OnAdopt func(t *Task)

	lifecycle Lifecycle
	reclaimAt time.Time // when the cloud reclaims the spot machine; zero: no notice
	idleSince time.Time // since when the machine has been idle; zero: not idle, or not known
	tasks     map[AttemptKey]*Task
	usage     usage

	commandInFlight bool // a request with direct commands has not been answered or given up
}

// New returns a machine without tasks whose ownership starts now.
func New(id Identity, keyRev, ownershipRev uint64, now time.Time) *Machine {
	return &Machine{
		Identity:   id,
		Ownership:  Ownership{KeyRev: keyRev, Rev: ownershipRev, lastPossibleRenewal: now},
		Liveness:   Liveness{LastContact: now, lastHeartbeat: now},
		Quarantine: newQuarantine(),
		Images:     Images{present: map[string]time.Time{}},
		tasks:      map[AttemptKey]*Task{},
	}
}

// Restore initializes the machine from the previous owner's last entry, so that images, drain and
// quarantine survive a change of ownership. The machine stays drained, because a leader that was
// suspended may still delete machines that the previous owner had drained for it.
func (m *Machine) Restore(entry *agentapi.MachineEntry, now time.Time) {
	for _, image := range entry.Images {
		m.Images.present[image] = now
	}
	if entry.Draining {
		m.Drain()
	}
	m.Quarantine.restore(entry.Faulty, entry.Blamed)
}

// Operational reports whether the machine exists as far as the owner knows, that is, it has been
// neither deleted nor deregistered.
func (m *Machine) Operational() bool { return m.lifecycle < Deleted }

// Drain excludes the machine from new tasks.
func (m *Machine) Drain() { m.lifecycle = m.lifecycle.next(drainStarted) }

// EndDrain cancels a drain.
func (m *Machine) EndDrain() { m.lifecycle = m.lifecycle.next(drainCancelled) }

// Delete records that the cloud has deleted the machine. This proves that its tasks are gone and
// that no command of an earlier owner can take effect. Only the machine's key remains.
func (m *Machine) Delete(now time.Time) {
	m.lifecycle = m.lifecycle.next(deleted)
	m.Ownership.reconciled = true
	for key := range m.tasks {
		m.removeGone(key, MachineDeleted, now)
	}
}

// Deregister records that the machine's key has been removed.
func (m *Machine) Deregister(now time.Time) {
	m.lifecycle = m.lifecycle.next(deregistered)
	m.Liveness.LastContact = now
}

// Deregistered reports whether the machine's key has been removed.
func (m *Machine) Deregistered() bool { return m.lifecycle == Deregistered }

// UnavailableReason returns why the machine gets no new tasks of any job, or "".
func (m *Machine) UnavailableReason(now time.Time) string {
	switch {
	case !m.Operational() || !m.Ownership.reconciled:
		return "machine is deleted or not reconciled"
	case m.lifecycle == Draining || m.Quarantine.Active || !m.reclaimAt.IsZero():
		return "machine is draining, quarantined or about to be reclaimed"
	case !m.Liveness.Responsive():
		return "machine is unresponsive"
	case !m.Ownership.heartbeatAnswered:
		// The first lease of a new machine counts from the start of its worker epoch, and commands
		// do not renew it. A task started shortly before that lease expires would be killed.
		return "worker lease has not been renewed yet"
	case m.Quarantine.Suspected(now):
		return "machine is suspected of causing task failures"
	case m.Ownership.Unfenced():
		return "a command to the machine is unanswered"
	}
	return ""
}

// WorkerLeaseExpired reports whether the worker's last possible lease renewal by this or an earlier
// owner was longer than leaseExpiry before a time.
func (m *Machine) WorkerLeaseExpired(at time.Time, leaseExpiry time.Duration) bool {
	return at.Sub(m.Ownership.lastPossibleRenewal) > leaseExpiry
}

// ExpireLease removes all tasks if the worker's lease has certainly expired, so that the worker has
// killed them, and reports whether anything changed. ownedUntil is a time at which this controller
// certainly was the owner: before that, no later owner can have renewed the lease. Commands that are
// still in flight cannot take effect any more, because the worker is in a later epoch.
func (m *Machine) ExpireLease(ownedUntil, now time.Time, leaseExpiry time.Duration) (changed bool) {
	if !m.WorkerLeaseExpired(ownedUntil, leaseExpiry) {
		return false
	}
	m.Liveness.endedEpoch = m.Liveness.latest.epoch
	if len(m.tasks) == 0 && m.Ownership.reconciled {
		return false
	}
	slog.Info("worker lease expired", "machine", m.Name, "tasks", len(m.tasks), "reconciled", m.Ownership.reconciled,
		"revision", m.Ownership.Rev, "epoch", m.Liveness.Epoch(),
		"last_renewal_s", seconds(now.Sub(m.Ownership.lastPossibleRenewal)),
		"owned_until_s", seconds(now.Sub(ownedUntil)))
	for key := range m.tasks {
		m.removeGone(key, LeaseExpired, now)
	}
	m.Ownership.reconciled = true
	return true
}

// EndOwnership ends the ownership, because another owner takes over: it resolves the commits that
// wait for the machine's tasks and logs the tasks that are still running.
func (m *Machine) EndOwnership(now time.Time) {
	for _, t := range m.tasks {
		t.Resolve(agentapi.Unresolved)
		if t.listed() && t.state != Exited {
			m.logFinished(t, now, "handed over")
		}
	}
}

// MalformedReason returns why a heartbeat cannot come from this machine, or "".
func (m *Machine) MalformedReason(r *worker.Heartbeat) string {
	if r.Address != m.Address {
		return "its address is another machine's"
	}
	return m.Liveness.outOfRange(r)
}

// AwaitsKeyRemoval reports whether the machine has been deleted but its key still exists.
func (m *Machine) AwaitsKeyRemoval() bool { return m.lifecycle == Deleted }
