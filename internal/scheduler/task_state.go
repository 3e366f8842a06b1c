package scheduler

import (
	"time"
)

// taskStatus is the state of an unfinished task as the scheduler sees it.
type taskStatus uint8

const (
	// taskPending: certainly on no machine.
	taskPending taskStatus = iota
	// taskCommitting: an attempt has a number, and its commit is in progress.
	taskCommitting
	// taskPlaced: a machine has the attempt, or may have it.
	taskPlaced
	// taskStopping: placed, and stops are sent to the machine's owner until the attempt is gone.
	taskStopping
)

// taskState is the state of one unfinished task of a job. Only transition changes status.
type taskState struct {
	status        taskStatus
	reportedState string // latest state reported by the worker
	attempt       uint64
	machine       string // on which the attempt is or may be; while committing, the one that was asked last
	zone          string

	// An entry of the machine that does not list the attempt proves the attempt gone if the entry
	// has this ownership revision and this version or a later one (see provenGone).
	ownerRev, entryVersion uint64

	grace      time.Duration // grace period of the stop, in which the task may write a checkpoint
	stopSentAt time.Time
}

// unresolved is the entryVersion of a task whose commit was not answered. Such a commit is resolved
// by an entry that lists the attempt, by an entry of a later owner, or by the owner's guarantee
// that the attempt will never start.
const unresolved = ^uint64(0)

// transition is the only place where status changes: pending, committing, placed, stopping, and
// back to pending from each of them. A pending task becomes placed directly when a machine entry
// shows an attempt that another controller placed, and so does a task whose attempt is superseded
// by a later one. A stopping attempt remains so until it is gone, whatever entries show of it.
func (t *taskState) transition(to taskStatus) {
	switch {
	case to == taskPending:
		*t = taskState{}
	case to == taskPlaced && t.status == taskStopping:
	default:
		t.status = to
	}
}

// beginAttempt starts a new attempt at a pending task; its commit is to follow.
func (t *taskState) beginAttempt(attempt uint64, zone string) {
	*t = taskState{attempt: attempt, zone: zone}
	t.transition(taskCommitting)
}

// markPlaced records the attempt's machine. An entry of the machine with ownership revision
// ownerRev and version entryVersion or a later one proves the attempt gone if it does not list the
// attempt.
func (t *taskState) markPlaced(machine, zone string, ownerRev, entryVersion uint64) {
	t.transition(taskPlaced)
	t.machine, t.zone = machine, zone
	t.ownerRev, t.entryVersion = ownerRev, entryVersion
}

// onMachine reports whether a machine has the task, or may have it.
func (t *taskState) onMachine() bool {
	return t.status == taskPlaced || t.status == taskStopping
}

// supersedes reports whether an attempt that a machine lists must give way to the task's attempt: it
// is an earlier one, or the same one on a machine other than the task's. A scheduler begins an
// attempt only once all earlier ones are proven gone, so a listed attempt that is later than the
// task's proves the task's attempt gone, in whatever order the entries arrive.
func (t *taskState) supersedes(attempt uint64, machine string) bool {
	return t.status != taskPending && (t.attempt > attempt || t.attempt == attempt && t.machine != machine)
}

// isPlacedAttempt reports whether the given attempt is the one that a machine has or may have.
func (t *taskState) isPlacedAttempt(attempt uint64) bool {
	return t.onMachine() && t.attempt == attempt
}

// isCommitting reports whether the commit of the given attempt is in progress.
func (t *taskState) isCommitting(attempt uint64) bool {
	return t.status == taskCommitting && t.attempt == attempt
}
