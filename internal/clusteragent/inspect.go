package clusteragent

import (
	"time"

	"robinstack/internal/machine"
)

const (
	// unreconciledQuiet is how long a machine may leave its new owner's commands
	// unanswered before it counts as unresponsive: a command that its worker gets is
	// answered within milliseconds, and one that is lost is sent again by then.
	unreconciledQuiet = 1600 * time.Millisecond
	// quietMargin is what a machine may be late beyond two heartbeats' intervals.
	quietMargin = 2 * time.Second
	// exitRecheckAfter is how long an ended task may stay on its machine before it is
	// looked up whether its job has finished. Recording what ended takes a few seconds at
	// most while the state service answers.
	exitRecheckAfter = 20 * time.Second
	// goneKeptFor is how long a deregistered machine is shown as gone.
	goneKeptFor = 2 * time.Minute
	// inspectionTurns is how many looks it takes until each machine has been inspected;
	// those of which something is urgent are at each.
	inspectionTurns = 4
)

// inspect does what time brings: reservations expire, unresponsive machines are noticed, and
// tasks of unreachable workers are gone once their lease ran out.
func (a *Agent) inspect(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resolved.expire(now)
	a.solicitHeartbeats(now)
	a.inspectionTurn = (a.inspectionTurn + 1) % inspectionTurns
	for _, m := range a.machines {
		urgent := !m.Ownership.Reconciled() || m.Liveness.Unresponsive()
		if urgent || m.inspectionTurn == a.inspectionTurn {
			a.inspectMachine(m, now)
		}
	}
}

// inspectMachine does what time brings to one machine. The mutex is held.
func (a *Agent) inspectMachine(m *ownedMachine, now time.Time) {
	if m.Deregistered() {
		if now.Sub(m.Liveness.LastContact) > goneKeptFor {
			a.forgetMachine(m)
		}
		return
	}
	if !m.Operational() {
		return // deleted: only its key is left
	}
	changed := m.CheckLiveness(now, a.livenessLimits())
	expired := m.Expired(now, a.settings.WorkerLeaseExpiry())
	a.recheckExited(m, now)
	if m.RemoveExpiredReservations(now) {
		changed = true
	}
	if expired && m.Expire(time.Now()) {
		changed = true
	}
	if changed {
		a.changes.mark(m)
	}
	if !m.Ownership.Reconciled() || m.CommandDue(now) {
		m.wake()
	}
}

// livenessLimits are the times after which a machine counts as out of contact.
func (a *Agent) livenessLimits() machine.LivenessLimits {
	return machine.LivenessLimits{
		Heartbeat:    a.settings.Workers.LeaseDuration * 2 / 3,
		Quiet:        2*a.settings.Workers.HeartbeatInterval + quietMargin,
		Unreconciled: unreconciledQuiet,
	}
}

// recheckExited has the records read of jobs whose tasks have been ended for long. The word to
// forget them may have gone to an earlier owner; until they are gone, the machine is not idle.
// The mutex is held.
func (a *Agent) recheckExited(m *ownedMachine, now time.Time) {
	for _, t := range m.Tasks() {
		if t.RecheckExit(now, exitRecheckAfter) {
			a.lookups.add(t.Ref.Job)
			a.lookups.trigger()
		}
	}
}
