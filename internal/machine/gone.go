package machine

import (
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/invariant"
)

// GoneProof is the evidence on which an owner regards a task as gone from its machine. Each proof
// has a condition (see refutation) that must hold when it is used.
type GoneProof string

// Proofs that a task is gone.
const (
	// NotSent: no command with the task's start has been sent.
	NotSent GoneProof = "start was not sent"
	// NotExecutable: the worker has not executed the start and rejects every copy of it from now on.
	NotExecutable GoneProof = "start can no longer be executed"
	// NotListed: a heartbeat does not list the task although an earlier one did, and the worker rejects
	// every copy of the start from now on.
	NotListed GoneProof = "no longer listed by the worker"
	// LaterWorkerEpoch: the worker is in a later epoch than when the start was sent.
	LaterWorkerEpoch GoneProof = "worker epoch has ended"
	// LeaseExpired: no owner can have renewed the worker's lease for longer than it lasts.
	LeaseExpired GoneProof = "worker lease has expired"
	// MachineDeleted: the cloud has deleted the machine.
	MachineDeleted GoneProof = "machine was deleted"
)

// removeGone removes a task that the proof shows to be gone. A commit that waits for its start is left
// unresolved, because entries have shown the attempt; the next entry shows the scheduler that it may
// start the task elsewhere. This is the only way in which a task leaves a machine that stays owned.
// If the proof's condition does not hold, the task is kept, which is the safe choice, and removeGone
// returns false.
func (m *Machine) removeGone(key AttemptKey, proof GoneProof, now time.Time) bool {
	t := m.tasks[key]
	if why := m.refutation(t, proof); why != "" {
		invariant.Violated("the proof that a task is gone holds", invariant.Context{
			Task: t.ID, Attempt: t.Ref.Attempt, Machine: m.Name, Revision: m.Ownership.Rev,
			Token: m.Ownership.Token(), Epoch: m.Liveness.Epoch(), Reason: string(proof) + ": " + why,
		})
		return false
	}
	t.Resolve(agentapi.Unresolved)
	if t.state != Exited && proof != NotSent {
		slog.Info("task gone from machine", "task", t.ID, "attempt", t.Ref.Attempt, "machine", m.Name,
			"proof", string(proof), "revision", m.Ownership.Rev, "token", m.Ownership.seenToken,
			"epoch", m.Liveness.Epoch())
	}
	if t.listed() && t.state != Exited {
		m.logFinished(t, now, "lost")
	}
	delete(m.tasks, key)
	m.invalidateUsage()
	return true
}

// refutation returns why the proof does not hold for the task, or "". The conditions that depend on
// the heartbeat or the clock are checked by the caller, which derives the proof from them.
func (m *Machine) refutation(t *Task, proof GoneProof) string {
	sent, listed := t.start.delivery != startUnsent, t.listed()
	switch {
	case proof == NotSent && sent:
		return "the start has been sent"
	case proof == NotExecutable && (!sent || listed):
		return "the start has not been sent, or the worker has executed it"
	case proof == NotListed && !listed:
		return "the worker has not listed the task"
	case (proof == NotListed || proof == NotExecutable) && !t.startRejectedUnder(m.Ownership.seenToken):
		return "a copy of the start can still be executed"
	case proof == LaterWorkerEpoch && !sent:
		return "the start has not been sent"
	case proof == MachineDeleted && m.Operational():
		return "the machine has not been deleted"
	}
	return ""
}
