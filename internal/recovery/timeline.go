// Package recovery measures how long a controller takes to serve again after its start, or after
// it lost its state lease: what users notice of a failure is that time, and where it goes.
//
// It owns the times of one session's steps (Timeline), guarded by a mutex. It imports the
// standard library only.
package recovery

import (
	"log/slog"
	"sync"
	"time"
)

// Steps of the recovery, in their usual order. The values are logged and part of the status.
const (
	// StepRegistered is reached when the session is open at the state service.
	StepRegistered = "life"
	// StepReady is reached when the load balancer is first told to send requests.
	StepReady = "ready"
	// StepSubmissionAccepted is reached when the first submission is accepted.
	StepSubmissionAccepted = "accepted"
	// StepTaskStarted is reached when the first task is started.
	StepTaskStarted = "placed"
	// StepReconciled is reached when every job shard taken over is reconciled; the latest time
	// counts.
	StepReconciled = "settled"
)

// Timeline holds the times of one session's steps. A nil Timeline records nothing.
type Timeline struct {
	began time.Time

	mu    sync.Mutex
	steps map[string]time.Duration // since began
}

// NewTimeline returns a timeline for a session on the way since began.
func NewTimeline(began time.Time) *Timeline {
	return &Timeline{began: began, steps: map[string]time.Duration{}}
}

// Record notes that a step was reached, and logs it. Of all but StepReconciled the first time
// counts.
func (t *Timeline) Record(step string) {
	if t == nil {
		return
	}
	elapsed, recorded := t.record(step)
	if recorded {
		slog.Info("recovery step completed", "step", step, "elapsed", elapsed.Round(time.Millisecond))
	}
}

// record notes a step now, unless an earlier time of it counts.
func (t *Timeline) record(step string) (elapsed time.Duration, recorded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, again := t.steps[step]; again && step != StepReconciled {
		return 0, false
	}
	elapsed = time.Since(t.began)
	t.steps[step] = elapsed
	return elapsed, true
}

// Seconds returns the steps reached, each with the seconds since the start.
func (t *Timeline) Seconds() map[string]float64 {
	out := map[string]float64{}
	if t == nil {
		return out
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for step, elapsed := range t.steps {
		out[step] = elapsed.Seconds()
	}
	return out
}
