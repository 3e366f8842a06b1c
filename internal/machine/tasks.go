package machine

import (
	"iter"
	"maps"
	"time"

	"robinstack/internal/worker"
)

// Tasks iterates over the tasks, in no particular order. Tasks may be removed during the iteration.
func (m *Machine) Tasks() iter.Seq2[AttemptKey, *Task] { return maps.All(m.tasks) }

// TaskRoom returns how many more tasks the worker can list in a heartbeat. Ended tasks count until they
// are forgotten.
func (m *Machine) TaskRoom() int { return max(0, worker.MaxTasksPerHeartbeat-len(m.tasks)) }

// Task returns the task with the given key, or nil.
func (m *Machine) Task(key AttemptKey) *Task { return m.tasks[key] }

// AddTask adds a task to the machine.
func (m *Machine) AddTask(key AttemptKey, t *Task) {
	m.tasks[key] = t
	m.invalidateUsage()
}

// RemoveExpiredReservations removes the tasks whose reservation has expired before they were
// started, and reports whether there were any.
func (m *Machine) RemoveExpiredReservations(now time.Time) (changed bool) {
	for key, t := range m.tasks {
		if t.ReservationExpired(now) {
			changed = m.removeGone(key, NotSent, now) || changed
		}
	}
	return changed
}

// Start requests the start of a reserved task and ends the machine's reservation. The returned
// channel is buffered and receives the result.
func (m *Machine) Start(t *Task, now time.Time) <-chan string {
	m.Reservation = Reservation{}
	m.idleSince = time.Time{}
	t.transition(Starting, now)
	t.start.result = make(chan string, 1)
	return t.start.result
}

// Withdraw removes a task for which no command has been sent to the worker, and reports whether it
// did.
func (m *Machine) Withdraw(key AttemptKey, now time.Time) bool {
	t := m.tasks[key]
	if t == nil || t.state != Reserved && !t.StartNotSent() {
		return false
	}
	return m.removeGone(key, NotSent, now)
}

// WithdrawReserved removes a task for which capacity is only reserved, and reports whether it did.
func (m *Machine) WithdrawReserved(key AttemptKey, now time.Time) bool {
	t := m.tasks[key]
	return t != nil && t.state == Reserved && m.removeGone(key, NotSent, now)
}

// Cancel withdraws a task of a cancelled job if no command for it has been sent, and otherwise
// stops it without a grace period and has it forgotten.
func (m *Machine) Cancel(key AttemptKey, now time.Time) {
	if !m.Withdraw(key, now) {
		m.tasks[key].Discard()
	}
}

// OnJobRecordsRead records that job records have been read, so that the resource needs of tasks may
// have changed.
func (m *Machine) OnJobRecordsRead() { m.invalidateUsage() }
