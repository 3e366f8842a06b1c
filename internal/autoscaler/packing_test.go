package autoscaler

import (
	"testing"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// Tasks go where there is capacity, and then to the machines on which their places cost least.
func TestPackingRequestsWhatIsCheapestPerTask(t *testing.T) {
	types := map[string]cloud.MachineType{
		"small": {Name: "small", CPUs: 24, GPUs: 4, MemoryGB: 96, OnDemandPrice: 13, SpotPrice: 5, Zones: []string{"a"}},
		"big":   {Name: "big", CPUs: 64, GPUs: 8, MemoryGB: 512, OnDemandPrice: 25, SpotPrice: 10, Zones: []string{"a"}},
	}
	d := []Demand{{Spec: job.Spec{Need: job.Resources{CPUs: 6, GPUs: 1, MemoryGB: 48}, Spot: true, Rank: "normal"}, Waiting: 10}}
	bins := []*bin{{Pool: Pool{Type: "small", Zone: "a"}, name: "m1", free: job.Resources{CPUs: 24, GPUs: 4, MemoryGB: 96}}}
	requested, _ := pack(d, bins, turnover{}, listOffers(types, func(Pool) int { return 100 }), 20)
	if len(requested) != 1 || requested[Pool{"big", "a", true}] != 1 || !bins[0].used {
		t.Fatalf("two on the machine there, eight on one big spot machine: %v", requested)
	}
	d[0].Spec.Spot = false
	requested, _ = pack(d, nil, turnover{}, listOffers(types, func(Pool) int { return 100 }), 20)
	if requested[Pool{"big", "a", false}] != 2 {
		t.Fatalf("no spot machine for a job that forbids it: %v", requested)
	}
	// What only fits badly on the machines left is requested while the backlog grows.
	d[0].Spec.Spot = true
	onlySmall := func(p Pool) int {
		if p.Type == "small" && !p.Spot {
			return 100
		}
		return 0
	}
	bad := turnover{}
	for _, bad.growing = range []bool{false, true} {
		requested, _ = pack(d, nil, bad, listOffers(types, onlySmall), 20)
		if n := requested[Pool{"small", "a", false}]; (n > 0) != bad.growing {
			t.Fatalf("growing %v: %d expensive machines", bad.growing, n)
		}
	}
	// Twenty that run leave places in time for most of forty with a deadline in
	// three minutes: machines were requested for all of them, to idle soon after.
	d[0] = Demand{Spec: job.Spec{Shape: job.Array, Need: d[0].Spec.Need, Spot: true, Rank: "normal", EstimateS: 50, DeadlineS: new(float64)}, Waiting: 40, Running: 20}
	*d[0].Spec.DeadlineS = 180
	turn := turnover{provisioningS: 40}
	turn.add(&d[0])
	if requested, backlog := pack(d, nil, turn, listOffers(types, func(Pool) int { return 100 }), 20); requested[Pool{"big", "a", true}] != 1 || backlog != 40 {
		t.Fatalf("one machine for the rest: %v of %v", requested, backlog)
	}
	// Work of the lowest priority is to fill what is surplus: nothing expensive is
	// requested for it, however long it waits.
	filler := Demand{Spec: job.Spec{Need: d[0].Spec.Need, Spot: true, Rank: "best_effort"}, Waiting: 10, AgeS: 1000}
	noSpot := func(p Pool) int {
		if p.Spot {
			return 0
		}
		return 100
	}
	if requested, _ := pack([]Demand{filler}, nil, turnover{}, listOffers(types, noSpot), 20); len(requested) != 0 {
		t.Fatalf("%v requested for work of the lowest priority", requested)
	}
	// In a burst later jobs need what comes free later: waiting for that had
	// machines come up only when the burst was nearly over.
	turn.growing = true
	if requested, _ := pack(d, nil, turn, listOffers(types, func(Pool) int { return 100 }), 20); requested[Pool{"big", "a", true}] != 4 {
		t.Fatalf("four machines while the queue grows: %v", requested)
	}
}

// What is left of a job that must be in one zone is placed, and machines are requested for
// it, in the zone where its running tasks hold it, although another has a free machine.
func TestJobHeldInAZoneScalesOutThere(t *testing.T) {
	types := map[string]cloud.MachineType{"box": {Name: "box", CPUs: 16, GPUs: 2, MemoryGB: 64, OnDemandPrice: 10, Zones: []string{"a", "b"}}}
	elsewhere := &bin{Pool: Pool{Type: "box", Zone: "a"}, name: "m1", free: job.Resources{CPUs: 16, GPUs: 2, MemoryGB: 64}}
	spec := job.Spec{Shape: job.Array, OneZone: true, Rank: "normal", Need: job.Resources{CPUs: 1, GPUs: 1, MemoryGB: 1}}
	requested, _ := pack([]Demand{{Spec: spec, Waiting: 2, Running: 1, Zone: "b"}}, []*bin{elsewhere}, turnover{}, listOffers(types, func(Pool) int { return 10 }), 10)
	if want := (Pool{"box", "b", false}); len(requested) != 1 || requested[want] != 1 || elsewhere.used {
		t.Errorf("requested %v, a machine of the other zone is used: %v", requested, elsewhere.used)
	}
}
