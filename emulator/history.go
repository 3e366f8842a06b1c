package emulator

import (
	"fmt"
	"sync"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
)

// History is what happened on machines and what users were answered, held against the rules
// of the protocol as it happens. It knows nothing of what controllers believe. Its mutex
// guards all of it; it may be told under a cloud's mutex, so it must never ask a cloud
// under its own.
type History struct {
	settings  *config.Settings
	startTime time.Time

	mu            sync.Mutex
	faultsEndedAt time.Time // since when there are no faults; zero: there may be some
	jobs          map[string]*jobHistory
	usage         map[string]job.Resources // by team
	clock         LogicalTime
	violations    []string
	trace         []traceEntry

	starts            int
	restarts          int // starts of tasks that had been started before
	startsAfterCancel int // starts of tasks after their jobs were acknowledged as cancelled
	cancelToStop      []time.Duration
	maxOvershoot      float64 // most GPUs by which a team was beyond its quota
	onFirstStart      func(spec job.Spec, index int, waited time.Duration)
}

// LogicalTime orders requests and responses, also within one instant of fake time: a
// response received at one is older than a request sent at a later one.
type LogicalTime uint64

// jobHistory is what is known of a job.
type jobHistory struct {
	spec            job.Spec
	submittedAt     time.Time // when its user submitted it first
	invalid         bool      // it can never run, or lacks a field
	cancelRequested bool      // its user asked for its cancellation

	// What its user was answered.
	accepted             bool
	acceptedAt           time.Time
	acceptedTime         LogicalTime
	answeredAt           time.Time // when a request about it was last answered
	doneAcknowledged     bool
	cancelAcknowledgedAt time.Time   // zero: it is not cancelled as far as its user knows
	finalTime            LogicalTime // when it was acknowledged as done or cancelled; 0: it was not

	// What happened on machines, by the index of the task.
	placements map[int]placement // tasks that are on machines
	started    map[int]bool      // tasks that were on one
	completed  map[int]bool

	// What CheckWaitingJobs has seen.
	eligibleSince time.Time // since when it could start
	capacitySince time.Time // since when, without a break, it waits while there is capacity
	overdue       bool      // that it waits for too long was noted
}

// placement is a task on a machine.
type placement struct {
	machine, zone string
	since         time.Time
}

// NewHistory returns a history in which nothing has happened.
func NewHistory(settings *config.Settings) *History {
	return &History{
		settings:  settings,
		startTime: time.Now(),
		jobs:      map[string]*jobHistory{},
		usage:     map[string]job.Resources{},
	}
}

// StartTime is when the history began.
func (h *History) StartTime() time.Time { return h.startTime }

// isFinal reports whether a job's user was told that it is done or cancelled.
func (j *jobHistory) isFinal() bool { return j.doneAcknowledged || j.isCancelled() }

// isCancelled reports whether a job's user was told that it is cancelled.
func (j *jobHistory) isCancelled() bool { return !j.cancelAcknowledgedAt.IsZero() }

// isComplete reports whether all tasks of a job have completed.
func (j *jobHistory) isComplete() bool { return len(j.completed) >= j.spec.Tasks }

// violate notes that a rule was broken. The mutex is held.
func (h *History) violate(rule, format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(
		"%s at %.1f s: %s", rule, time.Since(h.startTime).Seconds(), fmt.Sprintf(format, args...)))
}

// StampRequest is the time of a request that a user is about to send.
func (h *History) StampRequest() LogicalTime {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

// RecordSubmission notes that a user is about to submit a job.
func (h *History) RecordSubmission(spec job.Spec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordSubmission(spec)
}

// RecordInvalidSubmission notes that a user is about to submit what can never run, or lacks
// a field.
func (h *History) RecordInvalidSubmission(spec job.Spec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordSubmission(spec).invalid = true
}

func (h *History) recordSubmission(spec job.Spec) *jobHistory {
	if j := h.jobs[spec.ID]; j != nil {
		return j
	}
	j := &jobHistory{
		spec:        spec,
		submittedAt: time.Now(),
		placements:  map[int]placement{},
		started:     map[int]bool{},
		completed:   map[int]bool{},
	}
	h.jobs[spec.ID] = j
	return j
}

// RecordCancelRequest notes that a user is about to ask for a cancellation.
func (h *History) RecordCancelRequest(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if j := h.jobs[id]; j != nil {
		j.cancelRequested = true
	}
}

// RecordTaskCompletion notes that a task has completed.
func (h *History) RecordTaskCompletion(task string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, index, _ := job.SplitTaskID(task)
	if j := h.jobs[id]; j != nil {
		j.completed[index] = true
		h.note(id, "%d has completed", index)
	}
}

// RecordFaultsEnded notes that all faults are over: from now on jobs must be answered about
// and served in time.
func (h *History) RecordFaultsEnded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultsEndedAt = time.Now()
	for _, j := range h.jobs {
		j.answeredAt = time.Now()
	}
}
