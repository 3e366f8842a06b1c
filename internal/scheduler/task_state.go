package scheduler

import (
	"time"

	"robinstack/internal/agentapi"
)

// taskStatus is how far an unfinished task is.
type taskStatus uint8

const (
	// taskPending: certainly on no machine.
	taskPending taskStatus = iota
	// taskCommitting: an attempt has its number, and its commit is under way.
	taskCommitting
	// taskPlaced: a machine has the attempt, or may have it.
	taskPlaced
	// taskStopping: placed, and its machine's owner is asked to stop it until it is gone.
	taskStopping
)

// taskState is one unfinished task of a job. Its status changes by transition alone.
type taskState struct {
	status  taskStatus
	state   string // as its worker last reported
	attempt uint64
	machine string
	zone    string

	// Revision of the machine's ownership, and the version of its entry under it, from
	// which on an entry without the task proves it gone.
	ownerRev, entryVersion uint64

	grace      time.Duration // that a stop leaves it to save
	stopSentAt time.Time
}

// unresolved is the entryVersion of a task whose commit was not answered: only an entry
// that has it, a later owner, or the owner's promise that it never starts decides.
const unresolved = ^uint64(0)

// transition is the one place where the status changes: pending, committing, placed,
// stopping, and from each of them back to pending. An entry may show a pending task as
// placed: another controller placed it. A task that is being stopped stays so until it is
// gone, whatever entries show.
func (t *taskState) transition(to taskStatus) {
	switch {
	case to == taskPending:
		*t = taskState{}
	case to == taskPlaced && t.status == taskStopping:
	default:
		t.status = to
	}
}

// beginAttempt has a pending task committed as the numbered attempt.
func (t *taskState) beginAttempt(attempt uint64, zone string) {
	*t = taskState{attempt: attempt, zone: zone}
	t.transition(taskCommitting)
}

// place notes where the attempt is, and from which entry on its absence counts.
func (t *taskState) place(machine, zone string, ownerRev, entryVersion uint64) {
	t.transition(taskPlaced)
	t.machine, t.zone = machine, zone
	t.ownerRev, t.entryVersion = ownerRev, entryVersion
}

// onMachine reports whether a machine has the task, or may have it.
func (t *taskState) onMachine() bool {
	return t.status == taskPlaced || t.status == taskStopping
}

// isPlacedAttempt reports whether the given attempt is the one on a machine.
func (t *taskState) isPlacedAttempt(attempt uint64) bool {
	return t.onMachine() && t.attempt == attempt
}

// isCommitting reports whether the given attempt is the one whose commit is under way.
func (t *taskState) isCommitting(attempt uint64) bool {
	return t.status == taskCommitting && t.attempt == attempt
}

// provenGone reports whether an entry of the task's machine that does not list it proves
// that it is not there. Under the owner that it was committed to, an entry made since then
// does; under a later owner, any that the worker has confirmed. An unconfirmed one proves
// nothing: its owner does not know yet what runs.
func (t *taskState) provenGone(entry *agentapi.MachineEntry) bool {
	laterOwner := entry.Rev > t.ownerRev
	sameOwnerLater := entry.Rev == t.ownerRev && t.entryVersion != unresolved && entry.Ver >= t.entryVersion
	if entry.Gone && entry.Rev >= t.ownerRev {
		return true
	}
	return entry.Reconciled() && (laterOwner || sameOwnerLater)
}
