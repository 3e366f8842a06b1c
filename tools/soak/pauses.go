package soak

import (
	"context"
	"sync"
	"time"

	"robinstack/emulator"
)

// pausable is a set of processes that can be paused and resumed, by index.
type pausable interface {
	Pause(k int) bool
	Resume(k int) bool
}

// throttlePeriod is the time in which a throttled controller runs once.
const throttlePeriod = 50 * time.Millisecond

// controllerPauses pauses controllers: faults pause them for seconds, and the throttle for a part of
// each period, so that they have only a share of a processor core. mu guards paused and is held while
// a process is paused or resumed.
type controllerPauses struct {
	controllers pausable

	mu     sync.Mutex
	paused map[int]int // number of faults that pause each controller
}

func newControllerPauses(controllers pausable) *controllerPauses {
	return &controllerPauses{controllers: controllers, paused: map[int]int{}}
}

// begin pauses a controller until the matching end, and reports whether it runs at all.
func (p *controllerPauses) begin(k int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.controllers.Pause(k) {
		return false
	}
	p.paused[k]++
	return true
}

// end ends a pause. The controller goes on once no other fault pauses it.
func (p *controllerPauses) end(k int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused[k]--; p.paused[k] == 0 {
		p.controllers.Resume(k)
	}
}

// endAll ends the pauses of all faults.
func (p *controllerPauses) endAll(controllers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.paused)
	for k := range controllers {
		p.controllers.Resume(k)
	}
}

// throttle lets a controller run for the given share of each period, until ctx ends.
func (p *controllerPauses) throttle(ctx context.Context, k int, share float64) {
	running := time.Duration(share * float64(throttlePeriod))
	for emulator.Sleep(ctx, running) {
		p.setThrottled(k, p.controllers.Pause)
		emulator.Sleep(ctx, throttlePeriod-running)
		p.setThrottled(k, p.controllers.Resume)
	}
}

// setThrottled pauses or resumes a controller that no fault pauses.
func (p *controllerPauses) setThrottled(k int, set func(k int) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused[k] == 0 {
		set(k)
	}
}
