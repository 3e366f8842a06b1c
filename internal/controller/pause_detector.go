package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// pauseDetector detects that this process was stopped while its clocks advanced. Pauses are safe,
// because the recipients of delayed writes and commands fence them off, but operators need to know
// about them.
type pauseDetector struct {
	mu      sync.Mutex // guards the fields below
	count   int
	longest time.Duration
}

const (
	pauseCheckInterval = 250 * time.Millisecond
	// minPause is the delay from which a late check counts as a pause. Checks of a process that is
	// merely busy are late by less.
	minPause = 1500 * time.Millisecond
)

// run checks every pauseCheckInterval, until ctx ends, how late the check itself is.
func (d *pauseDetector) run(ctx context.Context) {
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pauseCheckInterval):
		}
		now := time.Now()
		d.record(now.Sub(last) - pauseCheckInterval)
		last = now
	}
}

// record logs and counts a check that was late by delay, if delay is at least minPause.
func (d *pauseDetector) record(delay time.Duration) {
	if delay < minPause {
		return
	}
	slog.Warn("process paused", "duration", delay.Round(10*time.Millisecond))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count++
	d.longest = max(d.longest, delay)
}

// totals returns the number of pauses and the longest one.
func (d *pauseDetector) totals() (count int, longest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count, d.longest
}
