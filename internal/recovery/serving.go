// Package recovery measures how long a controller takes to serve again after its
// start, or after it lost its state lease: what users notice of a failure is that
// time, and where it goes.
package recovery

import (
	"log/slog"
	"sync"
	"time"
)

// Steps on the way back, in their usual order.
const (
	StepRegistered         = "life"     // registered with the state service
	StepReady              = "ready"    // first told the load balancer so
	StepSubmissionAccepted = "accepted" // first submission accepted
	StepTaskStarted        = "placed"   // first task started
	StepReconciled         = "settled"  // every slot taken over has settled; the latest time counts
)

// Timeline holds the times of one life. A nil Clock takes no notes.
type Timeline struct {
	began time.Time

	mu    sync.Mutex
	steps map[string]time.Duration
}

// NewTimeline returns a clock for a life on the way since began.
func NewTimeline(began time.Time) *Timeline {
	return &Timeline{began: began, steps: map[string]time.Duration{}}
}

// Record notes that a step was reached. Of all but Settled the first time counts.
func (c *Timeline) Record(step string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	_, again := c.steps[step]
	if again && step != StepReconciled {
		c.mu.Unlock()
		return
	}
	d := time.Since(c.began)
	c.steps[step] = d
	c.mu.Unlock()
	slog.Info("recovery step completed", "step", step, "elapsed", d.Round(time.Millisecond))
}

// Seconds returns the steps reached, each with the seconds since the start.
func (c *Timeline) Seconds() map[string]float64 {
	out := map[string]float64{}
	if c == nil {
		return out
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for step, d := range c.steps {
		out[step] = d.Seconds()
	}
	return out
}
