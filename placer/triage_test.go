package placer

import (
	"math/bits"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In a queue of which not all can be done in time, the earliest deadline first keeps
// few. What triage keeps for the first limit is the most that any choice keeps, and
// it can all be done.
func TestTriageKeepsTheMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var waiters []*waiter
		for range rapid.IntRange(1, 9).Draw(t, "jobs") {
			first := time.Duration(rapid.IntRange(1, 60).Draw(t, "due")) * time.Second
			waiters = append(waiters, &waiter{work: float64(rapid.IntRange(1, 40).Draw(t, "work")), left: []time.Duration{first, 2 * first}})
		}
		gpus := float64(rapid.IntRange(1, 4).Draw(t, "gpus"))
		feasible := func(set func(k int) bool) bool {
			for _, w := range waiters {
				sum := 0.0
				for k, x := range waiters {
					if set(k) && x.left[0] <= w.left[0] {
						sum += x.work
					}
				}
				if sum/gpus > w.left[0].Seconds() {
					return false
				}
			}
			return true
		}
		most := 0
		for set := range 1 << len(waiters) {
			in := func(k int) bool { return set>>k&1 == 1 }
			if n := bits.OnesCount(uint(set)); n > most && feasible(in) {
				most = n
			}
		}
		triage(waiters, gpus)
		kept := 0
		for _, w := range waiters {
			if w.tier == 0 {
				kept++
			}
		}
		if kept != most || !feasible(func(k int) bool { return waiters[k].tier == 0 }) {
			t.Fatalf("%d kept, %d can be", kept, most)
		}
	})
}

// A job whose last task takes longer than there is time for costs no other its place.
func TestTriageGivesUpWhatCannotBeInTime(t *testing.T) {
	late := &waiter{work: 1, last: 50 * time.Second, left: []time.Duration{40 * time.Second, 60 * time.Second}}
	large := &waiter{work: 30, last: 10 * time.Second, left: []time.Duration{40 * time.Second, 60 * time.Second}}
	triage([]*waiter{late, large}, 1)
	if late.tier != 1 || large.tier != 0 {
		t.Fatalf("tiers %d and %d", late.tier, large.tier)
	}
}
