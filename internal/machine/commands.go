package machine

import (
	"time"

	"robinstack/internal/worker"
)

const (
	// stopRepeatAfter is how long after a stop it is sent again: a task that saves takes
	// its time, and must not be told again with every answer until it is done.
	stopRepeatAfter = 2 * time.Second
	// stopOverdueAfter is how long beyond its grace a task may go on before it is stopped
	// without.
	stopOverdueAfter = 5 * time.Second
)

// CommandDue reports whether a command is due that must not wait for the next heartbeat.
// Forgetting can wait: the task has ended.
func (m *Machine) CommandDue(now time.Time) bool {
	if m.Ownership.Unfenced() {
		return true
	}
	for _, t := range m.tasks {
		if t.StartNotSent() || t.Occupies() && t.stopDue() && t.stopRepeatDue(now) {
			return true
		}
	}
	return false
}

// stopDue reports whether the worker has, or may have, a task that is to be stopped.
func (t *Task) stopDue() bool { return t.stop.requested && t.start.delivery != startUnsent }

func (t *Task) stopRepeatDue(now time.Time) bool { return now.Sub(t.stop.lastSent) > stopRepeatAfter }

// DirectCommands lists the commands that are due for a command of its own, which a heartbeat
// answers, so that it is known whether they were carried out: stops, forgets and starts. They
// count as sent.
func (m *Machine) DirectCommands(now time.Time) []worker.Command {
	stops, forgets := m.stopsAndForgets(now, (*Task).stopRepeatDue)
	return append(append(stops, forgets...), m.starts()...)
}

// AnswerCommands lists the commands that go into the answer to a heartbeat: all stops and
// forgets. They count as sent.
func (m *Machine) AnswerCommands(now time.Time) []worker.Command {
	stops, forgets := m.stopsAndForgets(now, func(*Task, time.Time) bool { return true })
	return append(stops, forgets...)
}

// stopsAndForgets lists the stops that are due by a rule, and the forgets.
func (m *Machine) stopsAndForgets(
	now time.Time, due func(*Task, time.Time) bool,
) (stops, forgets []worker.Command) {
	for _, t := range m.tasks {
		switch {
		case t.state == Exited:
			// A copy of the start that is still under way would start the
			// task anew after its forget.
			if t.forget && m.Ownership.seenToken >= t.start.fence {
				forgets = append(forgets, worker.ForgetCommand(t.ID, t.Ref.Attempt))
			}
		case t.stopDue() && due(t, now):
			stops = append(stops, worker.StopCommand(t.ID, t.Ref.Attempt, t.sendStop(now)))
		}
	}
	return stops, forgets
}

// sendStop counts the stop as sent and returns the grace that it names.
func (t *Task) sendStop(now time.Time) time.Duration {
	if t.stop.firstSent.IsZero() {
		t.stop.firstSent = now
	}
	t.stop.lastSent = now
	if now.Sub(t.stop.firstSent) > t.stop.grace+stopOverdueAfter {
		return 0
	}
	return t.stop.grace
}

// starts lists the starts that are due. There are none while an earlier command is unanswered.
func (m *Machine) starts() (starts []worker.Command) {
	if !m.Ownership.reconciled || m.Ownership.Unfenced() {
		return nil
	}
	for _, t := range m.tasks {
		if t.StartNotSent() {
			t.start.send(m.Ownership.Token())
			starts = append(starts, worker.StartCommand(t.ID, t.Ref.Attempt))
		}
	}
	return starts
}

// CommandUnanswered notes that a command under a token had no answer: it may still arrive. A
// raised token makes it harmless as soon as a heartbeat shows it.
func (m *Machine) CommandUnanswered(token uint64, sent time.Time) {
	m.Ownership.RaiseToken()
	m.Liveness.NoteUnanswered(sent)
	for _, t := range m.tasks {
		if t.start.delivery != startUnsent && t.start.token == token {
			t.startUnanswered(m.Ownership.Token())
		}
	}
}

// FenceOvertakenStart raises the token where a start under that one has not shown although its
// command was carried out: a later heartbeat overtook the answer, and the next one decides.
func (m *Machine) FenceOvertakenStart(token uint64) {
	for _, t := range m.tasks {
		if t.start.delivery == startSent && t.start.token == token {
			m.Ownership.RaiseToken()
			return
		}
	}
}
