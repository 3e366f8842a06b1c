// Package machine is the state of one machine as its owner sees it: which tasks are on it or
// may be, what is free, whether heartbeats and commands get through, and whether its failures
// are its own. It is a state machine without I/O, locks and goroutines of its own: every
// transition takes what happened and when, and the caller sends the commands that result.
// Finished tasks and quarantined machines are logged, as the audit adds them up.
//
// A Machine owns its tasks; whoever keeps it guards it (the Agent's mutex, package
// clusteragent). The package may import the messages of workers and agents, jobs and
// machine types; nothing that does I/O.
package machine

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/worker"
)

// Identity is what the key of a machine says about it. It does not change while the machine
// is owned.
type Identity struct {
	Name    string
	Address string
	Type    string
	Zone    string
	Spot    bool
}

// Machine is one machine as its owner sees it.
type Machine struct {
	Identity
	Ownership   Ownership
	Liveness    Liveness
	Quarantine  Quarantine
	Images      Images
	GangHold    GangHold
	Reservation Reservation

	// OnUsageChange is called when what is free may have changed; nil: nobody.
	OnUsageChange func()

	lifecycle Lifecycle
	reclaimAt time.Time // when the cloud takes the machine back; zero: no notice
	idleSince time.Time // since when there have been no tasks; zero: there are some
	tasks     map[AttemptKey]*Task
	usage     usage
}

// New returns a machine without tasks whose ownership begins now.
func New(id Identity, keyRev, ownershipRev uint64, now time.Time) *Machine {
	return &Machine{
		Identity:   id,
		Ownership:  Ownership{KeyRev: keyRev, Rev: ownershipRev, answersUntil: now},
		Liveness:   Liveness{LastContact: now, lastHeartbeat: now},
		Quarantine: newQuarantine(),
		Images:     Images{present: map[string]time.Time{}},
		tasks:      map[AttemptKey]*Task{},
	}
}

// Restore takes over what the former owner's last entry shows: what is known of a machine
// survives its owner. A leader that was suspended may yet delete what that owner had drained
// for it, so the machine stays drained.
func (m *Machine) Restore(entry *agentapi.MachineEntry, now time.Time) {
	for _, image := range entry.Images {
		m.Images.present[image] = now
	}
	if entry.Draining {
		m.Drain()
	}
	m.Quarantine.restore(entry.Faulty, entry.Blamed)
}

// Operational reports whether the machine exists as far as known: it is neither deleted nor
// about to lose its key.
func (m *Machine) Operational() bool { return m.lifecycle < Removing }

// Drain closes the machine to new tasks.
func (m *Machine) Drain() { m.lifecycle = m.lifecycle.after(drainBegan) }

// EndDrain opens the machine to tasks again.
func (m *Machine) EndDrain() { m.lifecycle = m.lifecycle.after(drainEnded) }

// Delete notes that the cloud has deleted the machine: its tasks are proven gone, and so is
// whatever a former owner sent. Only the machine's key is left.
func (m *Machine) Delete(now time.Time) {
	m.lifecycle = m.lifecycle.after(deleted)
	m.Ownership.reconciled = true
	for key, t := range m.tasks {
		t.Resolve(agentapi.Refused)
		m.RemoveTask(key, now)
	}
}

// Deregister notes that the key of the deleted machine is gone.
func (m *Machine) Deregister(now time.Time) {
	m.lifecycle = m.lifecycle.after(deregistered)
	m.Liveness.LastContact = now
}

// Deregistered reports whether the machine's key is gone.
func (m *Machine) Deregistered() bool { return m.lifecycle == Gone }

// Unavailable says why the machine gets no new tasks at all, or "".
func (m *Machine) Unavailable(now time.Time) string {
	switch {
	case !m.Operational() || !m.Ownership.reconciled:
		return "machine is not reconciled"
	case m.lifecycle == Draining || m.Quarantine.Active || !m.reclaimAt.IsZero():
		return "machine is being drained"
	case !m.Liveness.Responsive():
		return "machine is unresponsive"
	case !m.Ownership.heartbeatAnswered:
		// The lease of one that has come up counts from its beginning, and commands do not
		// renew it: what is started in its last moments is killed with it.
		return "machine's lease has not been renewed"
	case m.Quarantine.Suspected(now):
		return "machine is suspected"
	case m.Ownership.Unfenced():
		return "a command to the machine is unanswered"
	}
	return ""
}

// Expired reports whether nobody can have answered the machine's worker for so long that
// whatever it ran has ended.
func (m *Machine) Expired(now time.Time, goneAfter time.Duration) bool {
	return now.Sub(m.Ownership.answersUntil) > goneAfter
}

// Expire takes note that the worker's lease is over: whatever the machine ran has ended, and
// late commands are dead too, for the worker has moved on to its next epoch. It returns
// whether anything changed.
func (m *Machine) Expire(now time.Time) (changed bool) {
	for key, t := range m.tasks {
		t.Resolve(agentapi.Refused)
		m.RemoveTask(key, now)
		changed = true
	}
	if !m.Ownership.reconciled {
		m.Ownership.reconciled, changed = true, true
	}
	return changed
}

// Release resolves what waits for the machine's tasks when another owner follows them.
func (m *Machine) Release(now time.Time) {
	for _, t := range m.tasks {
		t.Resolve(agentapi.Unresolved)
		if t.listed() && t.state != Exited {
			m.logFinished(t, now, "handed over")
		}
	}
}

// Malformed says why a heartbeat cannot be this machine's, or "".
func (m *Machine) Malformed(r *worker.Heartbeat) string {
	if r.Address != m.Address {
		return "its address is another machine's"
	}
	return m.Liveness.outOfRange(r)
}

// KeyLeft reports whether the machine has been deleted and its key has not.
func (m *Machine) KeyLeft() bool { return m.lifecycle == Removing }
