package autoscaler

import (
	"testing"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// After a refusal the demand moves to other pools, and a pool that refused gets only small requests
// until it grants one in full. Before, empty pools were asked for the whole demand again and again,
// and more expensive pools with capacity were not asked.
func TestDemandMovesToOtherPoolsAfterRefusal(t *testing.T) {
	limits := newPoolLimits()
	now := time.Now()
	p := Pool{"big", "a", true}
	if n := limits.available(p, now); n < 50 {
		t.Fatalf("%d machines available before any refusal, want at least 50", n)
	}
	limits.pause(p, now)
	if n := limits.available(p, now); n != 0 {
		t.Fatalf("%d machines available just after a refusal, want 0", n)
	}
	now = now.Add(11 * time.Second)
	types := map[string]cloud.MachineType{"big": {Name: "big", GPUs: 8, OnDemandPrice: 25, SpotPrice: 10, Zones: []string{"a"}}}
	demands := []Demand{{Spec: job.Spec{Rank: "normal", Need: job.Resources{GPUs: 8}, Spot: true}, Waiting: 10}}
	available := func(p Pool) int { return limits.available(p, now) }
	requested, _ := pack(demands, nil, freedCapacityForecast{}, listOffers(types, available), 100)
	if requested[p] != initialProbeSize || requested[Pool{"big", "a", false}] != 10-initialProbeSize {
		t.Fatalf("requested %v, want %d spot machines and the others on demand", requested, initialProbeSize)
	}
}
