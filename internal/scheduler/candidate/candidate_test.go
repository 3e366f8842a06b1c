package candidate

import (
	"slices"
	"testing"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

func TestAssignRanksAndListsFallbacks(t *testing.T) {
	candidates := []agentapi.Candidate{
		{Machine: "m1", Fits: 1, Score: 10},
		{Machine: "m2", Fits: 2, Score: 90},
		{Machine: "m3", Fits: 1, Score: 50},
	}
	Rank(candidates)
	lists := Assign(candidates, 5, 2)
	var first []string
	for _, list := range lists {
		first = append(first, list[0].Machine)
		if len(list) != 2 || list[0].Machine == list[1].Machine {
			t.Fatalf("got list %v, want 2 different machines", list)
		}
	}
	if !slices.Equal(first, []string{"m2", "m2", "m3", "m1"}) {
		t.Fatalf("got first candidates %v, want [m2 m2 m3 m1]", first)
	}
}

func TestGangZoneFitsWholeGang(t *testing.T) {
	candidates := []agentapi.Candidate{
		{Machine: "m1", Zone: "a", Fits: 1, Score: 99},
		{Machine: "m2", Zone: "b", Fits: 1},
		{Machine: "m3", Zone: "b", Fits: 1},
	}
	if zone := GangZone(candidates, 2); zone != "b" {
		t.Fatalf("gang of 2: got zone %q, want \"b\"", zone)
	}
	if zone := GangZone(candidates, 3); zone != "" {
		t.Fatalf("gang of 3: got zone %q, want none", zone)
	}
}

// One-zone and spread jobs take the zones of their other tasks into account; otherwise tasks are
// placed in the wrong zone.
func TestOpenZonesAndSpreadLimit(t *testing.T) {
	zones := []string{"a", "b", "c"}
	oneZone := &job.Spec{OneZone: true, Tasks: 4}
	if got := OpenZones(oneZone, map[string]int{"b": 1}, zones); !slices.Equal(got, []string{"b"}) {
		t.Fatalf("one zone: got open zones %v, want [b]", got)
	}
	spread := &job.Spec{Spread: true, Tasks: 5}
	if got := OpenZones(spread, map[string]int{"a": 3, "b": 1}, zones); !slices.Equal(got, []string{"b", "c"}) {
		t.Fatalf("spread: got open zones %v, want [b c]", got)
	}
	lists := [][]agentapi.Candidate{{{Zone: "a"}}, {{Zone: "b"}, {Zone: "a"}}}
	got := EnforceSpreadLimit(lists, map[string]int{"a": 3}, 3)
	if len(got) != 1 || len(got[0]) != 1 || got[0][0].Zone != "b" {
		t.Fatalf("EnforceSpreadLimit: got %v, want one list with one candidate in zone b", got)
	}
}

// Machines are freed for a gang at the lowest cost, all in one zone if the job requires that. No
// machine is freed if the gang would still not fit.
func TestChooseMachinesToFreeTakesCheapestZoneThatFitsGang(t *testing.T) {
	options := []agentapi.Candidate{
		{Machine: "m1", Zone: "a", Score: -5},
		{Machine: "m2", Zone: "b", Score: -20},
		{Machine: "m3", Zone: "b", Score: -30},
	}
	withCapacity := []agentapi.Candidate{{Machine: "m4", Zone: "b", Fits: 1}}
	if got := ChooseMachinesToFree(true, withCapacity, options, 2); len(got) != 1 || got[0].Machine != "m2" {
		t.Fatalf("one zone: got %v, want m2", got)
	}
	if got := ChooseMachinesToFree(false, withCapacity, options, 2); len(got) != 1 || got[0].Machine != "m1" {
		t.Fatalf("any zone: got %v, want m1", got)
	}
	if got := ChooseMachinesToFree(true, nil, options, 3); got != nil {
		t.Fatalf("gang that fits in no zone: got %v, want nil", got)
	}
}
