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
	Life     = "life"     // registered with the state service
	Ready    = "ready"    // first told the load balancer so
	Accepted = "accepted" // first submission accepted
	Placed   = "placed"   // first task started
	Settled  = "settled"  // every slot taken over has settled; the latest time counts
)

// Clock holds the times of one life. A nil Clock takes no notes.
type Clock struct {
	began time.Time

	mu    sync.Mutex
	steps map[string]time.Duration
}

// NewClock returns a clock for a life on the way since began.
func NewClock(began time.Time) *Clock {
	return &Clock{began: began, steps: map[string]time.Duration{}}
}

// Mark notes that a step was reached. Of all but Settled the first time counts.
func (c *Clock) Mark(step string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	_, again := c.steps[step]
	if again && step != Settled {
		c.mu.Unlock()
		return
	}
	d := time.Since(c.began)
	c.steps[step] = d
	c.mu.Unlock()
	slog.Info("recovery step completed", "step", step, "elapsed", d.Round(time.Millisecond))
}

// Seconds returns the steps reached, each with the seconds since the start.
func (c *Clock) Seconds() map[string]float64 {
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
