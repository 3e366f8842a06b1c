package emulator

import (
	"net/http"
	"slices"
	"time"

	"robinstack/internal/job"
)

// Kinds of requests that RecordResponse tells apart.
const (
	submitRequest = "submit"
	cancelRequest = "cancel"
)

// maxUnanswered is how long requests about a job may go without an answer.
const maxUnanswered = 75 * time.Second

// RecordResponse takes a response about a job as it is received: kind is "submit", "query"
// or "cancel", and asked the time of the request (StampRequest). What was asked before the
// user had an answer may be answered as of then; of two that overlap, neither is the older
// one.
func (h *History) RecordResponse(kind, id string, asked LogicalTime, code int, status string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	h.note(id, "%s, asked at %d and answered at %d: %d %s", kind, asked, h.clock, code, status)
	j := h.jobs[id]
	if j == nil {
		if code == http.StatusOK {
			h.violate("invented", "%s is told as %s", id, status)
		}
		return
	}
	h.checkRemembered(j, kind, asked, code)
	if code != http.StatusOK && code != http.StatusCreated {
		return
	}
	h.checkAnswered(j, kind)
	j.answeredAt = time.Now()
	if !j.accepted {
		j.accepted, j.acceptedAt, j.acceptedTime = true, j.answeredAt, h.clock
	}
	switch status {
	case job.Done:
		h.recordDone(j)
	case job.Cancelled:
		h.recordCancelled(j)
	default:
		h.checkActive(j, asked, status)
	}
}

// checkRemembered holds the refusal of a request against what was accepted.
func (h *History) checkRemembered(j *jobHistory, kind string, asked LogicalTime, code int) {
	if !j.accepted {
		return
	}
	switch code {
	case http.StatusNotFound:
		if asked > j.acceptedTime {
			h.violate("forgotten", "%s is unknown", j.spec.ID)
		}
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if kind == submitRequest {
			h.violate("forgotten", "%s is refused with %d when submitted again", j.spec.ID, code)
		}
	}
}

// checkAnswered holds an answer against those before it, and against what may be accepted.
func (h *History) checkAnswered(j *jobHistory, kind string) {
	if since := time.Since(j.answeredAt); !h.faultsEndedAt.IsZero() && j.accepted && since > maxUnanswered {
		h.violate("forgotten", "no question about %s was answered for %v", j.spec.ID, since)
	}
	if j.invalid && kind != cancelRequest {
		h.violate("unfit", "%s is accepted and can't run, or lacks a field", j.spec.ID)
	}
}

func (h *History) recordDone(j *jobHistory) {
	id := j.spec.ID
	if !j.isComplete() {
		h.violate("not_done", "%s is told as done with %d of %d tasks complete", id, len(j.completed), j.spec.Tasks)
	}
	if j.isCancelled() {
		h.violate("went_back", "%s is told as done after withdrawn", id)
	}
	if !j.doneAcknowledged {
		j.doneAcknowledged, j.finalTime = true, h.clock
	}
}

func (h *History) recordCancelled(j *jobHistory) {
	id := j.spec.ID
	switch {
	case j.doneAcknowledged:
		h.violate("went_back", "%s is told as withdrawn after done", id)
	case j.isCancelled():
		// Told once more.
	case !h.mayBeCancelled(j):
		h.violate("went_back", "%s is told as withdrawn and nobody asked for it", id)
	default:
		j.cancelAcknowledgedAt, j.finalTime = time.Now(), h.clock
	}
}

// mayBeCancelled reports whether a job's user asked for its cancellation, or for that of
// one that it depends on.
func (h *History) mayBeCancelled(j *jobHistory) bool {
	return j.cancelRequested || slices.ContainsFunc(j.spec.WaitsOn, func(id string) bool {
		return h.jobs[id] != nil && h.mayBeCancelled(h.jobs[id])
	})
}

// checkActive holds a status that is not final against what its user was told before.
func (h *History) checkActive(j *jobHistory, asked LogicalTime, status string) {
	if j.finalTime > 0 && asked > j.finalTime {
		h.violate("went_back", "%s is told as %s after its end", j.spec.ID, status)
	}
	for _, dependency := range j.spec.WaitsOn {
		d := h.jobs[dependency]
		if d == nil || !d.isCancelled() {
			continue
		}
		// One that is submitted later is accepted all the same.
		since := time.Since(d.cancelAcknowledgedAt)
		if min(since, time.Since(j.acceptedAt)) > h.settings.Workers.CancellationDeadline {
			h.violate("orphaned", "%s is told as %s %v after %s was cancelled", j.spec.ID, status, since, dependency)
		}
	}
}
