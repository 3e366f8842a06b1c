// Package recovery measures how long a controller takes until it serves again after its start or
// after the loss of its state lease. Users notice a failure for that long; the steps show where the
// time is spent.
//
// A Timeline holds the times of one session's steps, guarded by a mutex. The package imports the
// standard library only.
package recovery

import (
	"log/slog"
	"sync"
	"time"
)

// Steps of the recovery, in their usual order. Their values appear in the log and in the status.
const (
	// StepRegistered is reached when the session is registered in the state service.
	StepRegistered = "life"
	// StepReady is reached when the readiness check first succeeds, so that the load balancer sends
	// requests.
	StepReady = "ready"
	// StepSubmissionAccepted is reached when the first submission is accepted.
	StepSubmissionAccepted = "accepted"
	// StepTaskStarted is reached when the first task is started.
	StepTaskStarted = "placed"
	// StepReconciled is reached each time that a job shard taken over is reconciled. A later time
	// replaces the earlier one, so in the end the time is that of the last job shard.
	StepReconciled = "settled"
)

// Timeline holds the times of one session's steps. A nil Timeline records nothing.
type Timeline struct {
	start time.Time

	mu    sync.Mutex               // guards steps
	steps map[string]time.Duration // by step, since start
}

// NewTimeline returns a timeline that measures from start.
func NewTimeline(start time.Time) *Timeline {
	return &Timeline{start: start, steps: map[string]time.Duration{}}
}

// Record records and logs that a step was reached. It ignores a step that is already recorded,
// except StepReconciled, whose time it replaces.
func (t *Timeline) Record(step string) {
	if t == nil {
		return
	}
	elapsed, recorded := t.record(step)
	if recorded {
		slog.Info("recovery step completed", "step", step, "elapsed", elapsed.Round(time.Millisecond))
	}
}

// record stores the time of a step; recorded is false if an earlier time was kept.
func (t *Timeline) record(step string) (elapsed time.Duration, recorded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.steps[step]; known && step != StepReconciled {
		return 0, false
	}
	elapsed = time.Since(t.start)
	t.steps[step] = elapsed
	return elapsed, true
}

// Seconds returns the seconds from the start to each step reached so far.
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
