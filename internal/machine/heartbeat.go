package machine

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// Apply brings the machine up to date from a heartbeat or the answer to a command, and
// returns whether anything changed. executed is the token of the command that it answers, or
// 0. What is not newer than the latest state is left.
func (m *Machine) Apply(r *worker.Heartbeat, now time.Time, executed uint64) (changed bool) {
	if !m.Liveness.latest.Before(SerialOf(r)) {
		return false
	}
	changed = m.applyEpoch(r, now)
	gang := m.gangPriority()
	changed = m.applyContact(r, now) || changed
	listed := make(map[AttemptKey]bool, len(r.Tasks)) // made here, so that a small one needs no memory
	shown := m.applyListed(r, listed, now)
	gone := m.removeUnlisted(r, listed, now, executed)
	idle := m.applyOccupancy(gang, now)
	return changed || shown || gone || idle
}

// applyEpoch takes in that the worker may have begun a new epoch.
func (m *Machine) applyEpoch(r *worker.Heartbeat, now time.Time) (changed bool) {
	known := m.Liveness.latest.epoch
	if r.WorkerEpoch > known {
		// An epoch has its lease from its beginning, answered or not.
		m.Ownership.extendAnswers(now)
	}
	if r.WorkerEpoch > known && known != 0 {
		// The worker's lease ran out: it killed and forgot everything, and
		// commands for the earlier epoch are refused from now on.
		for key, t := range m.tasks {
			if t.start.delivery != startUnsent {
				t.Resolve(agentapi.Refused)
				m.RemoveTask(key, now)
			}
		}
	}
	return r.WorkerEpoch != known
}

// applyContact takes in that there is contact, under which token, and whether the cloud has
// announced that it takes the machine.
func (m *Machine) applyContact(r *worker.Heartbeat, now time.Time) (changed bool) {
	l := &m.Liveness
	changed = l.unresponsive
	l.latest, l.LastContact, l.unresponsive = SerialOf(r), now, false
	if m.Ownership.noteToken(r.FencingToken, now) {
		changed = true
	}
	if !m.Ownership.Unfenced() && l.NoteCommandAnswered() {
		changed = true // it has seen our latest token: answers reach it
	}
	if r.SpotNoticeS != nil && m.reclaimAt.IsZero() {
		m.reclaimAt, changed = now.Add(time.Duration(*r.SpotNoticeS*float64(time.Second))), true
	}
	return changed
}

// applyListed brings the tasks that a heartbeat lists up to date, and adds them to listed.
func (m *Machine) applyListed(r *worker.Heartbeat, listed map[AttemptKey]bool, now time.Time) (changed bool) {
	for i := range r.Tasks {
		w := &r.Tasks[i]
		key := AttemptKey{w.ID, w.Attempt}
		listed[key] = true
		t := m.tasks[key]
		if t == nil {
			jobID, index, ok := job.SplitTaskID(w.ID)
			if !ok {
				continue
			}
			ref := agentapi.TaskRef{Job: jobID, Index: index, Attempt: w.Attempt}
			t = &Task{Ref: ref, ID: w.ID, Unverified: true}
			m.AddTask(key, t)
		}
		if t.differs(w) {
			changed = true
			m.usageChanged()
			t.transition(TaskState(w.State), now)
		}
		t.cause, t.checkpointed = w.Cause, w.Checkpointed
		t.start.delivery = startListed
		m.takeOutcome(t, now)
	}
	return changed
}

// differs reports whether a heartbeat shows something new about the task.
func (t *Task) differs(w *worker.Task) bool {
	return !t.listed() || t.state != TaskState(w.State) ||
		t.cause != w.Cause || t.checkpointed != w.Checkpointed
}

// removeUnlisted drops the tasks that a heartbeat without them proves gone: those that were
// there before, and those whose start will never be carried out.
func (m *Machine) removeUnlisted(
	r *worker.Heartbeat, listed map[AttemptKey]bool, now time.Time, executed uint64,
) (changed bool) {
	for key, t := range m.tasks {
		if listed[key] || !t.listed() && !t.provenNeverStarted(r.FencingToken, executed) {
			continue
		}
		t.Resolve(agentapi.Refused)
		m.RemoveTask(key, now)
		changed = true
	}
	return changed
}

// applyOccupancy notes that the machine has become free or idle. gang is the priority of the
// gang that was on it, or noGang.
func (m *Machine) applyOccupancy(gang int, now time.Time) (changed bool) {
	if m.currentUsage().occupied {
		m.idleSince = time.Time{}
		return false
	}
	if gang != noGang {
		m.GangHold = GangHold{until: now.Add(gangHoldTime), priority: gang}
	}
	if !m.idleSince.IsZero() {
		return false
	}
	m.idleSince = now
	return true
}

// takeOutcome takes note of what a task's state says about its machine, and resolves the
// commit that waits for it.
func (m *Machine) takeOutcome(t *Task, now time.Time) {
	result := agentapi.Started
	switch t.state {
	case Exited:
		if t.exitedAt.IsZero() {
			t.exitedAt = now
			m.logFinished(t, now, t.cause)
		}
		if refusedByWorker(t.cause) {
			// It never ran, so there is nothing to record.
			t.forget = true
			result = agentapi.Refused
			break
		}
		m.countExit(t, now)
	case Fetching:
	default:
		if t.runningSince.IsZero() && t.state == Running {
			t.runningSince = now
		}
		if t.Spec != nil {
			m.Images.present[t.Spec.Image] = now
		}
	}
	t.Resolve(result)
}

func refusedByWorker(cause string) bool {
	return cause == worker.CauseNoCapacity || cause == worker.CauseOtherAttempt || cause == worker.CauseUnknownTask
}

// countExit holds a task's end for or against its machine, once.
func (m *Machine) countExit(t *Task, now time.Time) {
	if t.counted {
		return
	}
	t.counted = true
	switch t.cause {
	case worker.CauseFailed:
		m.Quarantine.noteFailure(t.Ref.Job, now)
	case worker.CauseDone:
		m.Quarantine.noteSuccess(now)
	}
}
