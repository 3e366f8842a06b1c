package emulator

import (
	"net/http"
	"slices"
	"time"

	"robinstack/internal/job"
)

// Kinds of requests that RecordResponse treats specially.
const (
	submitRequest = "submit"
	cancelRequest = "cancel"
)

// maxUnansweredTime is how long requests about a job may go without a successful response.
const maxUnansweredTime = 75 * time.Second

// RecordResponse records and checks the response to a request about a job. It must be called when
// the response is received. kind is "submit", "query" or "cancel"; sentAt is the value of
// NextRequestTime for the request. A request that was sent before an earlier response was received
// may be answered with the state of the job before that response: overlapping requests have no
// order.
func (h *History) RecordResponse(kind, id string, sentAt LogicalTime, code int, status string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.logicalClock++
	h.traceEvent(id, "%s sent at logical time %d, response at %d: %d %s", kind, sentAt, h.logicalClock, code, status)
	j := h.jobs[id]
	if j == nil {
		if code == http.StatusOK {
			h.recordViolation("invented", "%s is reported as %s, but nobody submitted it", id, status)
		}
		return
	}
	h.checkRejection(j, kind, sentAt, code)
	if code != http.StatusOK && code != http.StatusCreated {
		return
	}
	h.checkSuccessfulResponse(j, kind)
	j.lastAnsweredAt = time.Now()
	if !j.accepted {
		j.accepted, j.acceptedAt, j.acceptedLogicalTime = true, j.lastAnsweredAt, h.logicalClock
	}
	switch status {
	case job.Done:
		h.recordDone(j)
	case job.Cancelled:
		h.recordCancelled(j)
	default:
		h.checkNonFinalStatus(j, sentAt, status)
	}
}

// checkRejection records a violation if a request about an accepted job was answered with "not
// found", or if a repeated submission of an accepted job was rejected.
func (h *History) checkRejection(j *jobHistory, kind string, sentAt LogicalTime, code int) {
	if !j.accepted {
		return
	}
	switch code {
	case http.StatusNotFound:
		if sentAt > j.acceptedLogicalTime {
			h.recordViolation("forgotten", "%s was accepted but is now not found", j.spec.ID)
		}
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if kind == submitRequest {
			h.recordViolation(
				"forgotten", "%s was accepted but is rejected with status %d when submitted again", j.spec.ID, code)
		}
	}
}

// checkSuccessfulResponse checks that a successful response does not come too long after the last
// one, once faults have ended, and that the job is valid.
func (h *History) checkSuccessfulResponse(j *jobHistory, kind string) {
	if since := time.Since(j.lastAnsweredAt); !h.faultsEndedAt.IsZero() && j.accepted && since > maxUnansweredTime {
		h.recordViolation("forgotten", "no request about %s was answered for %v", j.spec.ID, since)
	}
	if j.invalid && kind != cancelRequest {
		h.recordViolation("unfit", "%s is accepted although it can never run or lacks a required field", j.spec.ID)
	}
}

func (h *History) recordDone(j *jobHistory) {
	id := j.spec.ID
	if !j.isComplete() {
		h.recordViolation(
			"not_done", "%s is reported as done with %d of %d tasks completed", id, len(j.completed), j.spec.Tasks)
	}
	if j.isCancelled() {
		h.recordViolation("went_back", "%s is reported as done after it was reported as cancelled", id)
	}
	if !j.doneAcknowledged {
		j.doneAcknowledged, j.finalLogicalTime = true, h.logicalClock
	}
}

func (h *History) recordCancelled(j *jobHistory) {
	id := j.spec.ID
	switch {
	case j.doneAcknowledged:
		h.recordViolation("went_back", "%s is reported as cancelled after it was reported as done", id)
	case j.isCancelled():
		// The user has been told of the cancellation before.
	case !h.cancellationExpected(j):
		h.recordViolation("went_back", "%s is reported as cancelled, but nobody requested its cancellation", id)
	default:
		j.cancelAcknowledgedAt, j.finalLogicalTime = time.Now(), h.logicalClock
	}
}

// cancellationExpected reports whether a user requested the cancellation of the job or of one of
// its direct or indirect dependencies.
func (h *History) cancellationExpected(j *jobHistory) bool {
	return j.cancelRequested || slices.ContainsFunc(j.spec.WaitsOn, func(id string) bool {
		return h.jobs[id] != nil && h.cancellationExpected(h.jobs[id])
	})
}

// checkNonFinalStatus checks a status other than done and cancelled against earlier responses about
// the job and its dependencies.
func (h *History) checkNonFinalStatus(j *jobHistory, sentAt LogicalTime, status string) {
	if j.finalLogicalTime > 0 && sentAt > j.finalLogicalTime {
		h.recordViolation(
			"went_back", "%s is reported as %s after it was reported as done or cancelled", j.spec.ID, status)
	}
	for _, dependency := range j.spec.WaitsOn {
		d := h.jobs[dependency]
		if d == nil || !d.isCancelled() {
			continue
		}
		// A job may also be submitted and accepted after its dependency was cancelled; the deadline
		// then counts from its acceptance.
		since := time.Since(d.cancelAcknowledgedAt)
		if min(since, time.Since(j.acceptedAt)) > h.settings.Workers.CancellationDeadline {
			h.recordViolation("orphaned", "%s is reported as %s %v after its dependency %s was cancelled",
				j.spec.ID, status, since, dependency)
		}
	}
}
