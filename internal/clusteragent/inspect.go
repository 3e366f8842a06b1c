package clusteragent

import (
	"time"

	"robinstack/internal/machine"
)

const (
	// unreconciledResponseTimeout is how long a machine may leave the commands of its new owner
	// unanswered before it counts as unresponsive. A worker answers a command within milliseconds,
	// and a lost command is repeated within this time.
	unreconciledResponseTimeout = 1600 * time.Millisecond
	// heartbeatDelayMargin is added to two heartbeat intervals before a machine counts as
	// unresponsive.
	heartbeatDelayMargin = 2 * time.Second
	// exitRecheckDelay is how long an ended task may stay on its machine before the agent checks
	// whether its job has finished. While the state service answers, recording the end of a task
	// takes a few seconds at most.
	exitRecheckDelay = 20 * time.Second
	// deregisteredRetention is how long a deregistered machine remains in the change log as gone.
	deregisteredRetention = 2 * time.Minute
	// inspectionBatches is the number of inspections that it takes to cover all machines. Machines
	// that are unreconciled or unresponsive are covered by each inspection.
	inspectionBatches = 4
)

// inspect applies the effects of time: reservations expire, machines become unresponsive, and tasks
// of unreachable workers are removed once the worker's lease has expired.
func (a *Agent) inspect(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decided.expire(now)
	a.solicitHeartbeats(now)
	a.inspectionBatch = (a.inspectionBatch + 1) % inspectionBatches
	for _, m := range a.machines {
		urgent := !m.Ownership.Reconciled() || m.Liveness.Unresponsive()
		if urgent || m.inspectionBatch == a.inspectionBatch {
			a.inspectMachine(m, now)
		}
	}
}

// inspectMachine applies the effects of time to one machine. The caller must hold a.mu.
func (a *Agent) inspectMachine(m *ownedMachine, now time.Time) {
	if m.Deregistered() {
		if now.Sub(m.Liveness.LastContact) > deregisteredRetention {
			a.removeMachine(m)
		}
		return
	}
	if !m.Operational() {
		return // deleted; only its key is left
	}
	if m.Ownership.TokensExhausted() {
		a.release(m) // reconcileOwnership claims it again, under a later revision
		return
	}
	changed := m.CheckLiveness(now, a.livenessTimeouts())
	a.recheckExited(m, now)
	if m.RemoveExpiredReservations(now) {
		changed = true
	}
	if a.expireLease(m, now) {
		changed = true
	}
	if changed {
		a.changes.markChanged(m)
	}
	if !m.Ownership.Reconciled() || m.CommandDue(now) {
		m.wakeSender()
	}
}

// expireLease removes the tasks of a machine whose worker's lease has expired, unless a successor may
// have renewed the lease. The caller must hold a.mu.
func (a *Agent) expireLease(m *ownedMachine, now time.Time) (changed bool) {
	expiry := a.settings.WorkerLeaseExpiry()
	return m.WorkerLeaseExpired(now, expiry) && m.ExpireLease(a.ownedUntil(m), now, expiry)
}

// livenessTimeouts returns the times after which a machine counts as unresponsive or its heartbeats
// as lost.
func (a *Agent) livenessTimeouts() machine.LivenessTimeouts {
	return machine.LivenessTimeouts{
		Heartbeat:           a.settings.Workers.LeaseDuration * 2 / 3,
		Contact:             2*a.settings.Workers.HeartbeatInterval + heartbeatDelayMargin,
		UnreconciledContact: unreconciledResponseTimeout,
	}
}

// recheckExited schedules another read of the job records of tasks that ended more than
// exitRecheckDelay ago. The request to forget such a task may have gone to an earlier owner, and
// the machine is not idle until the task is forgotten. The caller must hold a.mu.
func (a *Agent) recheckExited(m *ownedMachine, now time.Time) {
	for _, t := range m.Tasks() {
		if t.RecheckExit(now, exitRecheckDelay) {
			a.lookups.add(t.Ref.Job)
			a.lookups.trigger()
		}
	}
}
