package soak

import (
	"context"
	"sync"
	"testing"
	"time"
)

// recordingProcesses records whether the only process is paused.
type recordingProcesses struct {
	mu     sync.Mutex
	paused bool
	pauses int
}

func (r *recordingProcesses) Pause(int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paused = true
	r.pauses++
	return true
}

func (r *recordingProcesses) Resume(int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paused = false
	return true
}

func (r *recordingProcesses) state() (paused bool, pauses int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paused, r.pauses
}

// Guards against a throttle that resumes a controller which a fault has paused, and against overlapping pauses.
func TestThrottleKeepsPausesOfFaults(t *testing.T) {
	processes := &recordingProcesses{}
	pauses := newControllerPauses(processes)
	ctx, cancel := context.WithCancel(t.Context())
	var throttle sync.WaitGroup
	throttle.Go(func() { pauses.throttle(ctx, 0, 0.5) })
	for _, n := processes.state(); n < 2; _, n = processes.state() {
		time.Sleep(time.Millisecond)
	}
	pauses.begin(0)
	pauses.begin(0)
	pauses.end(0)
	for range 20 {
		time.Sleep(throttlePeriod / 10)
		if paused, _ := processes.state(); !paused {
			t.Fatal("the controller runs while a fault pauses it")
		}
	}
	cancel()
	throttle.Wait()
	pauses.end(0)
	if paused, _ := processes.state(); paused {
		t.Error("the controller is paused after the last fault")
	}
}
