package machine

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// Apply updates the machine from a heartbeat or from the response to a command, and reports whether
// anything changed. It ignores a state that is not newer than the latest one or that is from a worker
// epoch known to have ended.
func (m *Machine) Apply(r *worker.Heartbeat, now time.Time) (changed bool) {
	if !m.Liveness.latest.Before(MessageSequenceOf(r)) || m.Liveness.OfEndedEpoch(r) {
		return false
	}
	changed = m.applyWorkerEpoch(r, now)
	gangPriority := m.highestGangPriority()
	changed = m.applyMachineState(r, now) || changed
	listed := make(map[AttemptKey]bool, len(r.Tasks)) // allocated here so that a small map stays on the stack
	tasksChanged := m.applyListedTasks(r, listed, now)
	tasksRemoved := m.removeUnlistedTasks(listed, now)
	becameIdle := m.updateOccupancy(gangPriority, now)
	return changed || tasksChanged || tasksRemoved || becameIdle
}

// applyWorkerEpoch handles the start of a new worker epoch. It reports whether the epoch differs
// from the latest known one.
func (m *Machine) applyWorkerEpoch(r *worker.Heartbeat, now time.Time) (changed bool) {
	latest := m.Liveness.latest.epoch
	if r.WorkerEpoch > latest {
		// The lease of a worker epoch begins with the epoch, even if no heartbeat is answered.
		m.Ownership.recordRenewal(now)
	}
	if r.WorkerEpoch > latest && latest != 0 {
		// The worker's lease expired: the worker killed and forgot all tasks, and it rejects
		// commands for the earlier epoch from now on.
		for key, t := range m.tasks {
			if t.start.delivery != startUnsent {
				m.removeGone(key, LaterWorkerEpoch, now)
			}
		}
	}
	return r.WorkerEpoch != latest
}

// applyMachineState records the contact, the fencing token and a spot reclaim notice.
func (m *Machine) applyMachineState(r *worker.Heartbeat, now time.Time) (changed bool) {
	l := &m.Liveness
	changed = l.unresponsive
	l.latest, l.LastContact, l.unresponsive = MessageSequenceOf(r), now, false
	if m.Ownership.applyToken(r.FencingToken, now) {
		changed = true
	}
	if !m.Ownership.Unfenced() && l.RecordCommandResponse() {
		changed = true // the worker has seen the latest token, so messages reach it
	}
	if r.SpotNoticeS != nil && m.reclaimAt.IsZero() {
		m.reclaimAt, changed = now.Add(time.Duration(*r.SpotNoticeS*float64(time.Second))), true
	}
	return changed
}

// applyListedTasks updates the tasks that a heartbeat lists, and adds their keys to listed.
func (m *Machine) applyListedTasks(r *worker.Heartbeat, listed map[AttemptKey]bool, now time.Time) (changed bool) {
	for i := range r.Tasks {
		w := &r.Tasks[i]
		key := AttemptKey{w.ID, w.Attempt}
		listed[key] = true
		t := m.tasks[key]
		if t == nil {
			if t = m.adopt(key); t == nil {
				continue
			}
		}
		if t.differsFrom(w) {
			changed = true
			m.invalidateUsage()
			t.transition(TaskState(w.State), now)
		}
		t.cause, t.checkpointed = w.Cause, w.Checkpointed
		t.start.delivery = startListed
		m.handleTaskState(t, now)
	}
	return changed
}

// adopt adds a task that a heartbeat lists and that is not known here, and returns it, or nil if its id is
// malformed.
func (m *Machine) adopt(key AttemptKey) *Task {
	jobID, index, ok := job.SplitTaskID(key.TaskID)
	if !ok {
		return nil
	}
	t := &Task{
		Ref: agentapi.TaskRef{Job: jobID, Index: index, Attempt: key.Attempt}, ID: key.TaskID, Unverified: true,
		start: startCommand{token: m.Ownership.lastEarlierToken()},
	}
	m.AddTask(key, t)
	if m.OnAdopt != nil {
		m.OnAdopt(t)
	}
	return t
}

// differsFrom reports whether the task differs from its state in a heartbeat.
func (t *Task) differsFrom(w *worker.Task) bool {
	return !t.listed() || t.state != TaskState(w.State) ||
		t.cause != w.Cause || t.checkpointed != w.Checkpointed
}

// removeUnlistedTasks removes the tasks that the latest heartbeat proves gone because it does not list
// them: tasks that an earlier heartbeat listed, and tasks whose start was sent. The proof requires that
// the worker rejects every copy of the start.
func (m *Machine) removeUnlistedTasks(listed map[AttemptKey]bool, now time.Time) (changed bool) {
	for key, t := range m.tasks {
		switch {
		case listed[key] || t.start.delivery == startUnsent:
		case t.startRejectedUnder(m.Ownership.seenToken):
			changed = m.removeGone(key, t.absenceProof(), now) || changed
		case t.listed() && !t.startRejectedUnder(m.Ownership.Token()):
			m.Ownership.RaiseToken() // the next heartbeat with this token proves it
		}
	}
	return changed
}

// absenceProof returns what a heartbeat proves that does not list the task, though its start was sent.
func (t *Task) absenceProof() GoneProof {
	if t.listed() {
		return NotListed
	}
	return NotExecutable
}

// updateOccupancy records when the machine becomes idle. If a gang was on the machine and no task
// is left there, the machine is held for other gangs. gangPriority is the priority of that gang, or
// noGang.
func (m *Machine) updateOccupancy(gangPriority int, now time.Time) (changed bool) {
	if m.currentUsage().occupied {
		m.idleSince = time.Time{}
		return false
	}
	if gangPriority != noGang {
		m.GangHold = GangHold{until: now.Add(gangHoldDuration), priority: gangPriority}
	}
	if !m.idleSince.IsZero() {
		return false
	}
	m.idleSince = now
	return true
}

// handleTaskState updates quarantine and images from the task's state, and resolves the commit that
// waits for the task.
func (m *Machine) handleTaskState(t *Task, now time.Time) {
	result := agentapi.Started
	switch t.state {
	case Exited:
		if t.exitedAt.IsZero() {
			t.exitedAt = now
			m.logFinished(t, now, t.cause)
		}
		if refusedByWorker(t.cause) {
			// The task never ran, so its end needs no record and the worker may forget it at once.
			t.forgetAllowed = true
			result = agentapi.Unresolved
			break
		}
		m.recordExit(t, now)
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

// recordExit counts the task's exit as a success or failure of its machine, once per task.
func (m *Machine) recordExit(t *Task, now time.Time) {
	if t.exitCounted {
		return
	}
	t.exitCounted = true
	switch t.cause {
	case worker.CauseFailed:
		m.Quarantine.recordFailure(t.Ref.Job, now)
	case worker.CauseDone:
		m.Quarantine.recordSuccess(now)
	}
}
