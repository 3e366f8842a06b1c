package machine

import (
	"iter"
	"maps"
	"time"

	"robinstack/internal/agentapi"
)

// Tasks lists the tasks, in no order. Tasks may be removed meanwhile.
func (m *Machine) Tasks() iter.Seq2[AttemptKey, *Task] { return maps.All(m.tasks) }

// Task returns the task of a key, or nil.
func (m *Machine) Task(key AttemptKey) *Task { return m.tasks[key] }

// AddTask puts a task on the machine.
func (m *Machine) AddTask(key AttemptKey, t *Task) {
	m.tasks[key] = t
	m.usageChanged()
}

// RemoveTask takes a task off the machine.
func (m *Machine) RemoveTask(key AttemptKey, now time.Time) {
	if t := m.tasks[key]; t != nil && t.listed() && t.state != Exited {
		m.logFinished(t, now, "lost")
	}
	delete(m.tasks, key)
	m.usageChanged()
}

// RemoveExpiredReservations drops the tasks whose reservation has ended without a start.
func (m *Machine) RemoveExpiredReservations(now time.Time) (changed bool) {
	for key, t := range m.tasks {
		if t.ReservationExpired(now) {
			t.Resolve(agentapi.Refused)
			m.RemoveTask(key, now)
			changed = true
		}
	}
	return changed
}

// Start has a reserved task of the machine started, and ends a reservation of the machine for
// its job. The result comes by the channel, which is buffered.
func (m *Machine) Start(t *Task, now time.Time) <-chan string {
	m.Reservation = Reservation{}
	m.idleSince = time.Time{}
	t.transition(Starting, now)
	t.start.result = make(chan string, 1)
	return t.start.result
}

// Withdraw drops a task of which nothing has been sent to the worker, and returns whether it
// is one.
func (m *Machine) Withdraw(key AttemptKey, now time.Time) bool {
	t := m.tasks[key]
	if t == nil || t.state != Reserved && !t.StartNotSent() {
		return false
	}
	t.Resolve(agentapi.Refused)
	m.RemoveTask(key, now)
	return true
}

// Cancel has a task of a cancelled job stopped, with no time to save, or drops it if nothing
// of it has been sent.
func (m *Machine) Cancel(key AttemptKey, now time.Time) {
	if !m.Withdraw(key, now) {
		m.tasks[key].Discard()
	}
}

// RecordsChanged notes that the needs of tasks have become known.
func (m *Machine) RecordsChanged() { m.usageChanged() }
