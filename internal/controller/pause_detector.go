package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// pauseDetector notices when this process stood still while its clocks ran on. Whatever
// it was about to do is fenced by those that it does it to; operators have to
// know all the same.
type pauseDetector struct {
	mu      sync.Mutex
	count   int
	longest time.Duration
}

const (
	pauseCheckInterval = 250 * time.Millisecond
	minPause           = 1500 * time.Millisecond
)

// watch ticks until ctx ends; a tick that comes far too late was a pause.
func (p *pauseDetector) watch(ctx context.Context) {
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pauseCheckInterval):
		}
		now := time.Now()
		p.record(now.Sub(last) - pauseCheckInterval)
		last = now
	}
}

func (p *pauseDetector) record(late time.Duration) {
	if late < minPause {
		return
	}
	slog.Warn("process paused", "duration", late.Round(10*time.Millisecond))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	p.longest = max(p.longest, late)
}

// totals returns how many pauses there were, and the longest.
func (p *pauseDetector) totals() (int, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count, p.longest
}
