package emulator

import (
	"fmt"
	"sync"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
)

// History records what happens on machines and which responses users receive, and checks each event
// against the rules of the protocol as it is recorded. It has no access to the state of
// controllers. mu guards all fields below it. The methods that record events on machines are called
// with a cloud's mutex held, so History must not call a cloud while it holds mu.
type History struct {
	settings  *config.Settings
	startTime time.Time

	mu            sync.Mutex
	faultsEndedAt time.Time // zero: faults may still be injected
	jobs          map[string]*jobHistory
	teamUsage     map[string]job.Resources // resources used by tasks on machines, by team
	logicalClock  LogicalTime
	violations    []string
	trace         []traceEntry

	firstViolationAt time.Time // zero: none

	starts                 int
	restarts               int // starts of tasks that had started before
	startsAfterCancel      int // starts of tasks whose jobs had been acknowledged as cancelled
	timesToStopAfterCancel []time.Duration
	maxQuotaOvershoot      float64 // maximum number of GPUs by which a team exceeded its quota
	onFirstStart           func(spec job.Spec, index int, waited time.Duration)
}

// LogicalTime orders requests and responses, also those at the same instant of fake time: a request
// with a larger LogicalTime than a response was sent after that response was received.
type LogicalTime uint64

// jobHistory is what the history knows about one job.
type jobHistory struct {
	spec            job.Spec
	submittedAt     time.Time // time of the first submission
	invalid         bool      // it can never run or lacks a required field
	cancelRequested bool      // its user requested its cancellation

	// Responses that the user has received.
	accepted             bool
	acceptedAt           time.Time
	acceptedLogicalTime  LogicalTime
	lastAnsweredAt       time.Time // last successful response about the job
	doneAcknowledged     bool
	cancelAcknowledgedAt time.Time   // zero: not acknowledged as cancelled
	finalLogicalTime     LogicalTime // when the job was acknowledged as done or cancelled; 0: not yet

	// Events on machines, by task index.
	placements map[int]placement // tasks currently on a machine
	started    map[int]bool      // tasks that have been on a machine
	completed  map[int]bool

	// State of CheckWaitingJobs.
	eligibleSince          time.Time // when the job was first seen able to start
	capacityAvailableSince time.Time // since when it has been waiting with capacity and quota available
	waitViolationRecorded  bool      // a violation of a waiting time limit has been recorded
}

// placement is the machine that a task is on.
type placement struct {
	machine, zone string
	since         time.Time
}

// NewHistory returns an empty history.
func NewHistory(settings *config.Settings) *History {
	return &History{
		settings:  settings,
		startTime: time.Now(),
		jobs:      map[string]*jobHistory{},
		teamUsage: map[string]job.Resources{},
	}
}

// StartTime returns the time at which the history was created.
func (h *History) StartTime() time.Time { return h.startTime }

// isFinal reports whether the job's user has been told that the job is done or cancelled.
func (j *jobHistory) isFinal() bool { return j.doneAcknowledged || j.isCancelled() }

// isCancelled reports whether the job's user has been told that the job is cancelled.
func (j *jobHistory) isCancelled() bool { return !j.cancelAcknowledgedAt.IsZero() }

// isComplete reports whether all tasks of a job have completed.
func (j *jobHistory) isComplete() bool { return len(j.completed) >= j.spec.Tasks }

// recordViolation records that a rule was violated. The caller must hold h.mu.
func (h *History) recordViolation(rule, format string, args ...any) {
	if h.firstViolationAt.IsZero() {
		h.firstViolationAt = time.Now()
	}
	h.violations = append(h.violations, fmt.Sprintf(
		"%s at %.1f s: %s", rule, time.Since(h.startTime).Seconds(), fmt.Sprintf(format, args...)))
}

// NextRequestTime returns the logical time of a request. It must be called just before the request
// is sent.
func (h *History) NextRequestTime() LogicalTime {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.logicalClock++
	return h.logicalClock
}

// RecordSubmission records that a user is about to submit a job.
func (h *History) RecordSubmission(spec job.Spec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordSubmissionLocked(spec)
}

// RecordInvalidSubmission records that a user is about to submit a job that can never run or lacks
// a required field.
func (h *History) RecordInvalidSubmission(spec job.Spec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordSubmissionLocked(spec).invalid = true
}

func (h *History) recordSubmissionLocked(spec job.Spec) *jobHistory {
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

// RecordCancelRequest records that a user is about to request the cancellation of a job.
func (h *History) RecordCancelRequest(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if j := h.jobs[id]; j != nil {
		j.cancelRequested = true
	}
}

// RecordTaskCompletion records that a task has completed.
func (h *History) RecordTaskCompletion(task string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, index, _ := job.SplitTaskID(task)
	if j := h.jobs[id]; j != nil {
		j.completed[index] = true
		h.traceEvent(id, "task %d completed", index)
	}
}

// RecordFaultsEnded records that no more faults are injected. From now on the time limits on
// responses and on waiting jobs apply.
func (h *History) RecordFaultsEnded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultsEndedAt = time.Now()
	for _, j := range h.jobs {
		j.lastAnsweredAt = time.Now()
	}
}
