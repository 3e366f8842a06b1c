package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"robinstack/internal/autoscaler"
	"robinstack/internal/job"
)

// Capacity is kept warm for classes of gangs seen lately, and not for ever.
func TestCapacityIsKeptWarmForGangs(t *testing.T) {
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
			t.Fatalf("one runs, one is expected: requested %d", n)
		}
		if n := demand(autoscaler.Demand{Spec: spec, Waiting: 1}); n != 2 {
			t.Fatalf("one waits, one is expected: requested %d", n)
		}
		time.Sleep(2*time.Minute + time.Second)
		if n := demand(); n != 0 {
			t.Fatalf("none for two minutes: requested %d", n)
		}
	})
}
