package autoscaler

import (
	"testing"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// Tasks are placed on free capacity first, and then on the machines with the lowest cost per task.
func TestPackRequestsCheapestMachinesPerTask(t *testing.T) {
	types := map[string]cloud.MachineType{
		"small": {Name: "small", CPUs: 24, GPUs: 4, MemoryGB: 96, OnDemandPrice: 13, SpotPrice: 5, Zones: []string{"a"}},
		"big":   {Name: "big", CPUs: 64, GPUs: 8, MemoryGB: 512, OnDemandPrice: 25, SpotPrice: 10, Zones: []string{"a"}},
	}
	demands := []Demand{{Spec: job.Spec{Need: job.Resources{CPUs: 6, GPUs: 1, MemoryGB: 48}, Spot: true, Rank: "normal"}, Waiting: 10}}
	bins := []*bin{{Pool: Pool{Type: "small", Zone: "a"}, name: "m1", free: job.Resources{CPUs: 24, GPUs: 4, MemoryGB: 96}}}
	requested, _ := pack(demands, bins, freedCapacityForecast{}, listOffers(types, func(Pool) int { return 100 }), 20)
	if len(requested) != 1 || requested[Pool{"big", "a", true}] != 1 || !bins[0].used {
		t.Fatalf("requested %v, machine in use %v; want 2 tasks on the existing machine, 8 on one big spot machine",
			requested, bins[0].used)
	}
	demands[0].Spec.Spot = false
	requested, _ = pack(demands, nil, freedCapacityForecast{}, listOffers(types, func(Pool) int { return 100 }), 20)
	if requested[Pool{"big", "a", false}] != 2 {
		t.Fatalf("job that forbids spot machines: requested %v, want 2 big on-demand machines", requested)
	}
	// Machines with a high cost per task are requested only while the backlog grows.
	demands[0].Spec.Spot = true
	onlySmall := func(p Pool) int {
		if p.Type == "small" && !p.Spot {
			return 100
		}
		return 0
	}
	growth := freedCapacityForecast{}
	for _, growth.growing = range []bool{false, true} {
		requested, _ = pack(demands, nil, growth, listOffers(types, onlySmall), 20)
		if n := requested[Pool{"small", "a", false}]; (n > 0) != growth.growing {
			t.Fatalf("backlog growing %v: requested %d expensive machines", growth.growing, n)
		}
	}
	// A job array with 20 running and 40 waiting tasks and a deadline in 3 minutes needs few new
	// machines, since its running tasks free capacity in time for most of the others. Without
	// the forecast, machines were requested for all 40 tasks and became idle soon after.
	demands[0] = Demand{Spec: job.Spec{Shape: job.Array, Need: demands[0].Spec.Need, Spot: true, Rank: "normal", EstimateS: 50, DeadlineS: new(float64)}, Waiting: 40, Running: 20}
	*demands[0].Spec.DeadlineS = 180
	running := freedCapacityForecast{provisioningS: 40}
	running.add(&demands[0])
	if requested, backlog := pack(demands, nil, running, listOffers(types, func(Pool) int { return 100 }), 20); requested[Pool{"big", "a", true}] != 1 || backlog != 40 {
		t.Fatalf("requested %v with backlog %v, want one big spot machine with backlog 40", requested, backlog)
	}
	// Jobs of the lowest priority only use surplus capacity. No expensive machine is requested for
	// them, however long they wait.
	lowest := Demand{Spec: job.Spec{Need: demands[0].Spec.Need, Spot: true, Rank: "best_effort"}, Waiting: 10, AgeS: 1000}
	noSpot := func(p Pool) int {
		if p.Spot {
			return 0
		}
		return 100
	}
	if requested, _ := pack([]Demand{lowest}, nil, freedCapacityForecast{}, listOffers(types, noSpot), 20); len(requested) != 0 {
		t.Fatalf("job of the lowest priority: requested %v, want none", requested)
	}
	// In a burst, later jobs need the capacity that is freed later. When the tasks waited for that
	// capacity, machines came up only when the burst was nearly over.
	running.growing = true
	if requested, _ := pack(demands, nil, running, listOffers(types, func(Pool) int { return 100 }), 20); requested[Pool{"big", "a", true}] != 4 {
		t.Fatalf("backlog growing: requested %v, want four big spot machines", requested)
	}
}

// A job that must be in one zone already runs a task in zone b. Its remaining tasks are placed in
// zone b, and machines are requested there, although zone a has a free machine.
func TestOneZoneJobScalesOutInItsZone(t *testing.T) {
	types := map[string]cloud.MachineType{"box": {Name: "box", CPUs: 16, GPUs: 2, MemoryGB: 64, OnDemandPrice: 10, Zones: []string{"a", "b"}}}
	elsewhere := &bin{Pool: Pool{Type: "box", Zone: "a"}, name: "m1", free: job.Resources{CPUs: 16, GPUs: 2, MemoryGB: 64}}
	spec := job.Spec{Shape: job.Array, OneZone: true, Rank: "normal", Need: job.Resources{CPUs: 1, GPUs: 1, MemoryGB: 1}}
	requested, _ := pack([]Demand{{Spec: spec, Waiting: 2, Running: 1, Zone: "b"}}, []*bin{elsewhere}, freedCapacityForecast{}, listOffers(types, func(Pool) int { return 10 }), 10)
	if want := (Pool{"box", "b", false}); len(requested) != 1 || requested[want] != 1 || elsewhere.used {
		t.Errorf("requested %v, want one machine of %v; machine in the other zone used: %v",
			requested, want, elsewhere.used)
	}
}
