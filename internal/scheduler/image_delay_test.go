package scheduler

import (
	"testing"
	"time"

	"robinstack/internal/job"
)

// A gang waits for machines with its image only as long as it can still fetch it and meet
// the tightest objective that is within reach.
func TestStartSlackLeavesTimeToFetch(t *testing.T) {
	objectives := []time.Duration{25 * time.Second, 50 * time.Second}
	for _, c := range []struct{ age, fetch, want time.Duration }{
		{0, 10 * time.Second, 8 * time.Second},
		{0, 17 * time.Second, 0},
		{20 * time.Second, 10 * time.Second, 13 * time.Second},
		{45 * time.Second, 10 * time.Second, 0},
	} {
		if got := startSlack(objectives, c.age, c.fetch); got != c.want {
			t.Errorf("age %v, fetch %v: %v and not %v", c.age, c.fetch, got, c.want)
		}
	}
}

// The delay counts from the first machine without the image that a job was offered, and is
// longer while machines with the image are preempted for it.
func TestImageDelayCountsFromTheFirstOffer(t *testing.T) {
	now := time.Unix(10_000, 0)
	bounds := imageDelayBounds{usual: 2 * time.Second, max: 6 * time.Second}
	var delay imageDelay
	var none preemption
	if !delay.waits(bounds, &none, now) || !delay.waits(bounds, &none, now.Add(time.Second)) {
		t.Error("it does not wait")
	}
	if delay.waits(bounds, &none, now.Add(3*time.Second)) {
		t.Error("it waits for longer than its delay")
	}
	preempting := preemption{until: now.Add(10 * time.Second), scope: machinesWithImage}
	if !delay.waits(bounds, &preempting, now.Add(3*time.Second)) || delay.waits(bounds, &preempting, now.Add(7*time.Second)) {
		t.Error("while machines are preempted it waits for as long as the objectives leave")
	}
	preempting.scope = allMachines
	if delay.waits(bounds, &preempting, now.Add(3*time.Second)) {
		t.Error("it waits for machines that do not have its image")
	}
}

// Arrays wait only where capacity is scarce, gangs only up to a size.
func TestWhichJobsWaitForTheirImage(t *testing.T) {
	array := &jobState{spec: &job.Spec{Shape: job.Array}}
	gang := &jobState{spec: &job.Spec{Shape: job.Gang}}
	fetch, slack := 100*time.Second, 15*time.Second
	if bounds, may := array.delayForImage(1, true, fetch, slack); !may || bounds.usual != 12*time.Second || bounds.max != 0 {
		t.Errorf("an array: %+v, %v", bounds, may)
	}
	if _, may := array.delayForImage(1, false, fetch, slack); may {
		t.Error("an array waits where capacity is not scarce")
	}
	bounds, may := gang.delayForImage(maxDelayedGangTasks, false, fetch, slack)
	if !may || bounds.usual != slack || bounds.max != slack {
		t.Errorf("a gang: %+v, %v", bounds, may)
	}
	if _, may := gang.delayForImage(maxDelayedGangTasks+1, true, fetch, slack); may {
		t.Error("a large gang waits")
	}
}
