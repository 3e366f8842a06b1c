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
	if m.Ownership.AwaitsToken() {
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
// worker with the current token. The worker's response shows whether it executed them. The commands
// are recorded as sent.
func (m *Machine) DirectCommands(now time.Time) []worker.Command {
	stops, forgets := m.stopsAndForgets(now, (*Task).stopResendDue)
	return append(append(stops, forgets...), m.starts()...)
}

// SetCommandInFlight records that a request with direct commands is sent, or that it was answered or
// given up.
func (m *Machine) SetCommandInFlight(inFlight bool) { m.commandInFlight = inFlight }

// HeartbeatAnswer returns the answer to a heartbeat, with all stops and forgets, whenever they were
// last sent. The commands are recorded as sent.
//
// If tasks are to be forgotten whose starts carried the current token, and mayRaise is set, the answer
// raises the token. It is the message to do so: no other answer is in flight, and starts need not wait
// for the new token, since no command is unanswered.
func (m *Machine) HeartbeatAnswer(now time.Time, mayRaise bool) worker.HeartbeatResponse {
	if mayRaise && !m.commandInFlight && m.forgetsAwaitToken() {
		m.Ownership.advanceToken()
	}
	stops, forgets := m.stopsAndForgets(now, func(*Task, time.Time) bool { return true })
	return worker.HeartbeatResponse{FencingToken: m.Ownership.Token(), Commands: append(stops, forgets...)}
}

// forgetsAwaitToken reports whether a task may be forgotten but for the token of its start.
func (m *Machine) forgetsAwaitToken() bool {
	for _, t := range m.tasks {
		if t.forgettable(m.Ownership.seenToken) && !t.startRejectedUnder(m.Ownership.Token()) {
			return true
		}
	}
	return false
}

// forgettable reports whether the task has ended, its end needs to be kept no longer, and every
// unanswered command that starts it is fenced.
func (t *Task) forgettable(seenToken uint64) bool {
	return t.state == Exited && t.forgetAllowed && seenToken >= t.start.fence
}

// startRejectedUnder reports whether a worker that has seen the token rejects every command that starts
// the task, however late a copy of it arrives. Only then may the worker lose its memory of the attempt,
// and only then does the absence of the attempt prove that it is gone: to a worker that does not know
// the attempt, a copy of a start is a new start, whether it was answered before or not.
func (t *Task) startRejectedUnder(token uint64) bool { return token > t.start.token }

// stopsAndForgets returns a stop for each task that needs one and satisfies due, and a forget for
// each task that may be forgotten.
func (m *Machine) stopsAndForgets(
	now time.Time, due func(*Task, time.Time) bool,
) (stops, forgets []worker.Command) {
	for _, t := range m.tasks {
		switch {
		case t.state == Exited:
			// The worker takes the message's token before it executes the forget.
			if t.forgettable(m.Ownership.seenToken) && t.startRejectedUnder(m.Ownership.Token()) {
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

// FenceUnlistedStart raises the token if a task is still not listed although the worker has executed
// its start under the given token. This happens when a later heartbeat arrives before the response to
// the command. The next heartbeat with the raised token shows whether the task exists.
func (m *Machine) FenceUnlistedStart(token uint64) {
	for _, t := range m.tasks {
		if t.start.delivery == startSent && t.start.token == token {
			m.Ownership.RaiseToken()
			return
		}
	}
}
