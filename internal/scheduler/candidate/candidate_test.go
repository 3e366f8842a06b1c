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
	for _, l := range lists {
		first = append(first, l[0].Machine)
		if len(l) != 2 || l[0].Machine == l[1].Machine {
			t.Fatalf("fallbacks %v", l)
		}
	}
	if !slices.Equal(first, []string{"m2", "m2", "m3", "m1"}) {
		t.Fatalf("first choices %v", first)
	}
}

func TestGangZoneHoldsTheWholeGang(t *testing.T) {
	candidates := []agentapi.Candidate{
		{Machine: "m1", Zone: "a", Fits: 1, Score: 99},
		{Machine: "m2", Zone: "b", Fits: 1},
		{Machine: "m3", Zone: "b", Fits: 1},
	}
	if z := GangZone(candidates, 2); z != "b" {
		t.Fatalf("zone %q", z)
	}
	if z := GangZone(candidates, 3); z != "" {
		t.Fatalf("zone %q cannot hold three", z)
	}
}

// wrong_place: one_zone and spread look at where the job's other tasks are.
func TestOpenZonesAndSpreadOut(t *testing.T) {
	zones := []string{"a", "b", "c"}
	oneZone := &job.Spec{OneZone: true, Tasks: 4}
	if z := OpenZones(oneZone, map[string]int{"b": 1}, zones); !slices.Equal(z, []string{"b"}) {
		t.Fatalf("one zone: %v", z)
	}
	spread := &job.Spec{Spread: true, Tasks: 5}
	if z := OpenZones(spread, map[string]int{"a": 3, "b": 1}, zones); !slices.Equal(z, []string{"b", "c"}) {
		t.Fatalf("spread: %v", z)
	}
	lists := [][]agentapi.Candidate{{{Zone: "a"}}, {{Zone: "b"}, {Zone: "a"}}}
	if out := SpreadOut(lists, map[string]int{"a": 3}, 3); len(out) != 1 || len(out[0]) != 1 || out[0][0].Zone != "b" {
		t.Fatalf("spread out: %v", out)
	}
}

// Machines are freed for a gang where that loses least, all in one zone if it must be, and
// nothing is stopped when it would still not fit.
func TestChooseFreedTakesCheapestZoneThatHoldsGang(t *testing.T) {
	options := []agentapi.Candidate{
		{Machine: "m1", Zone: "a", Score: -5},
		{Machine: "m2", Zone: "b", Score: -20},
		{Machine: "m3", Zone: "b", Score: -30},
	}
	found := []agentapi.Candidate{{Machine: "m4", Zone: "b", Fits: 1}}
	if got := ChooseFreed(true, found, options, 2); len(got) != 1 || got[0].Machine != "m2" {
		t.Fatalf("one zone: %v", got)
	}
	if got := ChooseFreed(false, found, options, 2); len(got) != 1 || got[0].Machine != "m1" {
		t.Fatalf("any zone: %v", got)
	}
	if got := ChooseFreed(true, nil, options, 3); got != nil {
		t.Fatalf("does not fit anywhere: %v", got)
	}
}
