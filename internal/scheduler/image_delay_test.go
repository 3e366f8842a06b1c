package scheduler

import (
	"testing"
	"time"

	"robinstack/internal/job"
)

// A gang waits for machines with its image only as long as it can still fetch the image and meet
// the tightest start target that is within reach.
func TestStartSlackLeavesTimeToFetch(t *testing.T) {
	startTargets := []time.Duration{25 * time.Second, 50 * time.Second}
	for _, c := range []struct{ age, fetch, want time.Duration }{
		{0, 10 * time.Second, 8 * time.Second},
		{0, 17 * time.Second, 0},
		{20 * time.Second, 10 * time.Second, 13 * time.Second},
		{45 * time.Second, 10 * time.Second, 0},
	} {
		if got := startSlack(startTargets, c.age, c.fetch); got != c.want {
			t.Errorf("age %v, fetch %v: got %v, want %v", c.age, c.fetch, got, c.want)
		}
	}
}

// The delay counts from the first offer of a machine without the image. It is longer while machines
// with the image are being preempted for the job.
func TestImageDelayCountsFromFirstOffer(t *testing.T) {
	now := time.Unix(10_000, 0)
	bounds := imageDelayBounds{usual: 2 * time.Second, max: 6 * time.Second}
	var delay imageDelay
	var none preemption
	if !delay.shouldWait(bounds, &none, now) || !delay.shouldWait(bounds, &none, now.Add(time.Second)) {
		t.Error("job does not wait within its delay")
	}
	if delay.shouldWait(bounds, &none, now.Add(3*time.Second)) {
		t.Error("job waits beyond its delay")
	}
	preempting := preemption{until: now.Add(10 * time.Second), scope: machinesWithImage}
	if !delay.shouldWait(bounds, &preempting, now.Add(3*time.Second)) ||
		delay.shouldWait(bounds, &preempting, now.Add(7*time.Second)) {
		t.Error("during preemption on machines with the image, job does not wait until the start target bound")
	}
	preempting.scope = allMachines
	if delay.shouldWait(bounds, &preempting, now.Add(3*time.Second)) {
		t.Error("job waits beyond its delay during preemption on machines without its image")
	}
}

// Arrays wait for their image only if the sample exhausted all machines, gangs only up to
// maxDelayedGangTasks.
func TestDelayBounds(t *testing.T) {
	array := &jobState{spec: &job.Spec{Shape: job.Array}}
	gang := &jobState{spec: &job.Spec{Shape: job.Gang}}
	fetch, slack := 100*time.Second, 15*time.Second
	if bounds, allowed := array.delayBounds(1, true, fetch, slack); !allowed ||
		bounds.usual != 12*time.Second || bounds.max != 0 {
		t.Errorf("array: got %+v, %v; want a usual delay of 12s only", bounds, allowed)
	}
	if _, allowed := array.delayBounds(1, false, fetch, slack); allowed {
		t.Error("array waits although the sample did not exhaust all machines")
	}
	bounds, allowed := gang.delayBounds(maxDelayedGangTasks, false, fetch, slack)
	if !allowed || bounds.usual != slack || bounds.max != slack {
		t.Errorf("gang: got %+v, %v; want both bounds %v", bounds, allowed, slack)
	}
	if _, allowed := gang.delayBounds(maxDelayedGangTasks+1, true, fetch, slack); allowed {
		t.Error("gang of more than maxDelayedGangTasks tasks waits")
	}
}
