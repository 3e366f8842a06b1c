package autoscaler

import (
	"testing"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// Pools that had nothing left were asked for all that was needed again and
// again, and more expensive ones that had some were not reached: a refusal passes the
// demand on, and the pool is asked for little until it fills a request.
func TestEmptyPoolsPassTheDemandOn(t *testing.T) {
	limits := newPoolLimits()
	now := time.Now()
	p := Pool{"big", "a", true}
	if n := limits.available(p, now); n < 50 {
		t.Fatalf("%d before any refusal", n)
	}
	limits.refused(p, now)
	if n := limits.available(p, now); n != 0 {
		t.Fatalf("%d just after a refusal", n)
	}
	now = now.Add(11 * time.Second)
	types := map[string]cloud.MachineType{"big": {Name: "big", GPUs: 8, OnDemandPrice: 25, SpotPrice: 10, Zones: []string{"a"}}}
	d := []Demand{{Spec: job.Spec{Rank: "normal", Need: job.Resources{GPUs: 8}, Spot: true}, Waiting: 10}}
	requested, _ := pack(d, nil, turnover{}, listOffers(types, func(p Pool) int { return limits.available(p, now) }), 100)
	if requested[p] != probeMachines || requested[Pool{"big", "a", false}] != 10-probeMachines {
		t.Fatalf("%v", requested)
	}
}
