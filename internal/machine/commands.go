package machine

import (
	"time"

	"robinstack/internal/worker"
)

const (
	// stopResendInterval is the least time between two sends of a stop by direct command. A task
	// that is saving a checkpoint takes time to end; without the interval, each response of the
	// worker would trigger the same stop again.
	stopResendInterval = 2 * time.Second
	// stopOverrunLimit is how long a task may run beyond its grace period. After that, the stop is
	// sent without a grace period.
	stopOverrunLimit = 5 * time.Second
)

// CommandDue reports whether a command must be sent now instead of with the answer to the next
// heartbeat: a start, a stop, or a raised token that the worker has not shown yet. Forget commands
// can wait, because their tasks have ended.
func (m *Machine) CommandDue(now time.Time) bool {
	if m.Ownership.Unfenced() {
		return true
	}
	for _, t := range m.tasks {
		if t.StartNotSent() || t.Occupies() && t.needsStop() && t.stopResendDue(now) {
			return true
		}
	}
	return false
}

// needsStop reports whether a stop is requested for a task that the worker has or may still
// receive.
func (t *Task) needsStop() bool { return t.stop.requested && t.start.delivery != startUnsent }

func (t *Task) stopResendDue(now time.Time) bool {
	return now.Sub(t.stop.lastSent) > stopResendInterval
}

// DirectCommands returns the stop, forget and start commands that are due, for a request to the
// worker. The worker's response shows whether it executed them. The commands are recorded as sent.
func (m *Machine) DirectCommands(now time.Time) []worker.Command {
	stops, forgets := m.stopsAndForgets(now, (*Task).stopResendDue)
	return append(append(stops, forgets...), m.starts()...)
}

// AnswerCommands returns the commands for the answer to a heartbeat: all stops and forgets,
// whenever they were last sent. The commands are recorded as sent.
func (m *Machine) AnswerCommands(now time.Time) []worker.Command {
	stops, forgets := m.stopsAndForgets(now, func(*Task, time.Time) bool { return true })
	return append(stops, forgets...)
}

// stopsAndForgets returns a stop for each task that needs one and satisfies due, and a forget for
// each task that may be forgotten.
func (m *Machine) stopsAndForgets(
	now time.Time, due func(*Task, time.Time) bool,
) (stops, forgets []worker.Command) {
	for _, t := range m.tasks {
		switch {
		case t.state == Exited:
			// If an unanswered start command arrives after the forget, the worker starts the task
			// again. The forget therefore waits until a heartbeat shows a token that invalidates
			// that start.
			if t.forgetAllowed && m.Ownership.seenToken >= t.start.fence {
				forgets = append(forgets, worker.ForgetCommand(t.ID, t.Ref.Attempt))
			}
		case t.needsStop() && due(t, now):
			stops = append(stops, worker.StopCommand(t.ID, t.Ref.Attempt, t.recordStopSent(now)))
		}
	}
	return stops, forgets
}

// recordStopSent records that a stop is sent now and returns the grace period to send with it.
func (t *Task) recordStopSent(now time.Time) time.Duration {
	if t.stop.firstSent.IsZero() {
		t.stop.firstSent = now
	}
	t.stop.lastSent = now
	if now.Sub(t.stop.firstSent) > t.stop.grace+stopOverrunLimit {
		return 0
	}
	return t.stop.grace
}

// starts returns the start commands that are due. It returns none while the outcome of an earlier
// command is unknown.
func (m *Machine) starts() (starts []worker.Command) {
	if !m.Ownership.reconciled || m.Ownership.Unfenced() {
		return nil
	}
	for _, t := range m.tasks {
		if t.StartNotSent() {
			t.start.markSent(m.Ownership.Token())
			starts = append(starts, worker.StartCommand(t.ID, t.Ref.Attempt))
		}
	}
	return starts
}

// HandleUnansweredCommand records that a command with the given token got no response, so the
// worker may still receive it. It raises the token: once a heartbeat shows the new token, the
// worker can no longer execute the command.
func (m *Machine) HandleUnansweredCommand(token uint64, sent time.Time) {
	m.Ownership.RaiseToken()
	m.Liveness.RecordUnansweredCommand(sent)
	for _, t := range m.tasks {
		if t.start.delivery != startUnsent && t.start.token == token {
			t.startUnanswered(m.Ownership.Token())
		}
	}
}

// FenceOvertakenStart raises the token if a task is still not listed although the worker has
// executed its start under the given token. This happens when a later heartbeat arrives before the
// response to the command. The next heartbeat with the raised token shows whether the task exists.
func (m *Machine) FenceOvertakenStart(token uint64) {
	for _, t := range m.tasks {
		if t.start.delivery == startSent && t.start.token == token {
			m.Ownership.RaiseToken()
			return
		}
	}
}
