package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"robinstack/internal/autoscaler"
	"robinstack/internal/job"
)

// Guards against gangs that wait for provisioning because no machine is free: capacity is kept warm
// for each class of gangs seen recently. It must be given up two minutes after the last gang of the
// class.
func TestWarmCapacityForGangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newLeader(t, t.Context())
		l.reconciled = true
		l.policy.WarmTasksPerGangClass = 1
		spec := job.Spec{ID: "wk-1", Class: "train", Team: "t", Shape: job.Gang, Rank: "high", Tasks: 1, Need: job.Resources{GPUs: 8}}
		demand := func(jobs ...autoscaler.Demand) int {
			if err := NewService(l).Demand(autoscaler.DemandRequest{Host: "host-0", Jobs: jobs}, &struct{}{}); err != nil {
				t.Fatal(err)
			}
			n := 0
			for _, r := range l.plan(time.Now()).ScaleOut {
				n += r.Count
			}
			return n
		}
		if n := demand(autoscaler.Demand{Spec: spec, Running: 1}); n != 1 {
			t.Fatalf("one gang running: requested %d machines, want 1 as warm capacity", n)
		}
		if n := demand(autoscaler.Demand{Spec: spec, Waiting: 1}); n != 2 {
			t.Fatalf("one gang waiting: requested %d machines, want 1 for it and 1 as warm capacity", n)
		}
		time.Sleep(2*time.Minute + time.Second)
		if n := demand(); n != 0 {
			t.Fatalf("no gang for two minutes: requested %d machines, want 0", n)
		}
	})
}
