package clusteragent

import (
	"time"

	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// action is something that a controller does with a machine that it owns.
type action int

const (
	// answerHeartbeat renews the worker's lease.
	answerHeartbeat action = iota
	// sendCommands sends direct commands to the worker.
	sendCommands
	// startTasks commits tasks to the machine.
	startTasks
)

// denial returns why this controller may not act on a machine now, or "" if it may. This is the one
// place that decides what entitles a controller to act. The caller must hold a.mu and act, or mark
// the command as sent, before it releases a.mu; now must have been read with a.mu held.
func (a *Agent) denial(m *ownedMachine, act action, now time.Time) string {
	if why := a.machineDenial(m, act); why != "" {
		return why
	}
	return a.controllerDenial(act, now)
}

// controllerDenial returns why this controller may not act on any of its machines, or "". A successor
// relies on the earlier owner to stop at the end of the lease grace period. Starts also require that
// the session certainly holds its lease.
func (a *Agent) controllerDenial(act action, now time.Time) string {
	switch {
	case !a.withinLeaseGrace(now):
		return "lease grace period has ended"
	case act == startTasks && !a.session.HoldsLease():
		return "owner's session lease may have ended"
	}
	return ""
}

// machineDenial returns why the machine itself does not allow the action, or "". Starts require that
// the mirror has reached the ownership revision: a scheduler that acquires a job shard counts on the
// owners of machines registered later to know its epoch.
func (a *Agent) machineDenial(m *ownedMachine, act action) string {
	switch {
	case m == nil || !a.owns(m):
		return "machine is not owned by this controller"
	case !m.Operational():
		return "machine is deleted"
	case act == startTasks && m.Ownership.Rev > a.mirror.Rev():
		return "mirror has not reached the machine's ownership revision"
	}
	return ""
}

// stillOwned reports whether the keys in the mirror show this controller as the machine's owner. It
// returns true without a check while the session certainly holds its lease: in that state
// reconcileOwnership continuously releases machines that have another owner.
func (a *Agent) stillOwned(m *ownedMachine) bool {
	if a.session.HoldsLease() {
		return true
	}
	return a.mirrorShowsOwnership(m)
}

// mirrorShowsOwnership reports whether the keys in the mirror show this controller as the machine's
// owner.
func (a *Agent) mirrorShowsOwnership(m *ownedMachine) bool {
	kv, ok := a.mirror.Get(statekv.MachinePrefix + m.Name)
	holder, rev := shard.OwnerOf(a.mirror, kv)
	return ok && holder == a.session.Holder && rev <= m.Ownership.Rev
}

// ownedUntil returns a time at which this controller certainly was the machine's owner, or the zero
// time if the mirror does not show it as the owner.
func (a *Agent) ownedUntil(m *ownedMachine) time.Time {
	freshAsOf := a.mirror.FreshAsOf() // before the keys are read, which may be fresher
	if !a.mirrorShowsOwnership(m) {
		return time.Time{}
	}
	return freshAsOf
}
