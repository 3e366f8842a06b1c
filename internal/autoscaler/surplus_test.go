package autoscaler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// While idle machines regularly get work, the number of idle machines kept follows the number that
// got work. When the load has ended, all but minIdleKept may be returned early.
func TestIdleMachinesAreKeptWhileReused(t *testing.T) {
	var r reuseTracker
	now := time.Time{}.Add(time.Hour)
	present, idleNames := map[string]bool{}, []string{}
	for k := range 40 {
		present[fmt.Sprint("m", k)] = true
		idleNames = append(idleNames, fmt.Sprint("m", k))
	}
	keep := 0
	for k := range 30 { // each second one machine gets work, and it is idle again a second later
		keep = r.observe(now.Add(time.Duration(k)*time.Second), append(idleNames[:k%40:k%40], idleNames[k%40+1:]...), present)
		if k < 19 && keep < 39 {
			t.Fatalf("after %d s of observation: keep %d idle machines, want all 39", k, keep)
		}
	}
	if keep < 20 || keep > 2*21+minIdleKept {
		t.Errorf("one machine per second gets work: keep %d idle machines, want 20 to %d", keep, 2*21+minIdleKept)
	}
	for k := 30; k < 60; k++ {
		keep = r.observe(now.Add(time.Duration(k)*time.Second), idleNames, present)
	}
	if keep != minIdleKept {
		t.Errorf("no machine gets work: keep %d idle machines, want %d", keep, minIdleKept)
	}
	delete(present, "m1") // returned without having got work
	if keep = r.observe(now.Add(time.Minute), append([]string{"m0"}, idleNames[2:]...), present); keep != minIdleKept {
		t.Errorf("after one machine was returned: keep %d idle machines, want %d", keep, minIdleKept)
	}
}

// In a large cluster no machine is idle for long, but many are idle at any moment. The number of
// machines returned is the least number that were idle at the same time within the scale-in idle
// time, and no more.
func TestContinuouslyIdleMachinesAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		f.policy.ScaleInIdleTime = 10 * time.Second
		p := Pool{"box", "a", false}
		returned := 0
		for second := range 30 {
			var bins []*bin
			idle := map[string]time.Duration{}
			for i := range 10 - returned {
				b := &bin{Pool: p, name: fmt.Sprint("m", i)}
				bins = append(bins, b)
				// Each second a different set of 6 of the 10 machines, less those returned, is
				// idle. After 20 s the first two machines are idle all the time as well.
				if (i+second)%10 < 6-returned || second > 20 && i < 2 {
					idle[b.name] = time.Second
				}
			}
			returned += len(f.surplus(bins, idle, time.Now()))
			time.Sleep(time.Second)
		}
		if returned < 4 || returned > 6 {
			t.Fatalf("returned %d machines, want 4 to 6 of the 6 that are always idle", returned)
		}
	})
}
