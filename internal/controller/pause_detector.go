package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// pauseDetector notices when this process stood still while its clocks ran on. Whatever the
// process was about to do is fenced by those that it does it to; operators have to know all the
// same.
type pauseDetector struct {
	mu      sync.Mutex // guards the fields below
	count   int
	longest time.Duration
}

const (
	pauseCheckInterval = 250 * time.Millisecond
	// minPause is how late a check must be to count as a pause; the late checks of a busy process
	// stay below it.
	minPause = 1500 * time.Millisecond
)

// run checks until ctx ends; a check that comes far too late was a pause.
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

// record counts a check that came so much too late, if that is a pause.
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

// totals returns how many pauses there were, and the longest.
func (d *pauseDetector) totals() (count int, longest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count, d.longest
}
