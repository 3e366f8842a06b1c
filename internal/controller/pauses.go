package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// pauses notices when this process stood still while its clocks ran on. Whatever
// it was about to do is fenced by those that it does it to; operators have to
// know all the same.
type pauses struct {
	mu      sync.Mutex
	count   int
	longest time.Duration
}

const (
	pulse    = 250 * time.Millisecond
	lateTick = 1500 * time.Millisecond
)

// watch ticks until ctx ends; a tick that comes far too late was a pause.
func (p *pauses) watch(ctx context.Context) {
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pulse):
		}
		now := time.Now()
		p.note(now.Sub(last) - pulse)
		last = now
	}
}

func (p *pauses) note(late time.Duration) {
	if late < lateTick {
		return
	}
	slog.Warn("process paused", "duration", late.Round(10*time.Millisecond))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	p.longest = max(p.longest, late)
}

// totals returns how many pauses there were, and the longest.
func (p *pauses) totals() (int, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count, p.longest
}
