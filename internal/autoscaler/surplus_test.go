package autoscaler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// While machines that are idle get work now and then, that many are kept; when a day's
// load has ended, all but a few go after a part of the usual time.
func TestIdleMachinesAreKeptWhileTheyGetWork(t *testing.T) {
	var r reuse
	now := time.Time{}.Add(time.Hour)
	present, idleNames := map[string]bool{}, []string{}
	for k := range 40 {
		present[fmt.Sprint("m", k)] = true
		idleNames = append(idleNames, fmt.Sprint("m", k))
	}
	keep := 0
	for k := range 30 { // one a second gets work and is idle again two seconds later
		keep = r.observe(now.Add(time.Duration(k)*time.Second), append(idleNames[:k%40:k%40], idleNames[k%40+1:]...), present)
		if k < 19 && keep < 39 {
			t.Fatalf("%d are kept after %d s: too little was seen", keep, k)
		}
	}
	if keep < 20 || keep > 2*21+reuseMinimum {
		t.Errorf("%d are kept where one a second gets work", keep)
	}
	for k := 30; k < 60; k++ {
		keep = r.observe(now.Add(time.Duration(k)*time.Second), idleNames, present)
	}
	if keep != reuseMinimum {
		t.Errorf("%d are kept where none gets work", keep)
	}
	delete(present, "m1") // returned, not used
	if keep = r.observe(now.Add(time.Minute), append([]string{"m0"}, idleNames[2:]...), present); keep != reuseMinimum {
		t.Errorf("%d are kept after one was returned", keep)
	}
}

// In a large cluster no machine is idle for long, but many are at any moment: as
// many as were idle all the time are returned, and not one more.
func TestWhatIsIdleAllTheTimeIsReturned(t *testing.T) {
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
				// Every second another six of ten are idle; later four.
				if (i+second)%10 < 6-returned || second > 20 && i < 2 {
					idle[b.name] = time.Second
				}
			}
			returned += len(f.surplus(bins, idle, time.Now()))
			time.Sleep(time.Second)
		}
		if returned < 4 || returned > 6 {
			t.Fatalf("returned %d of the six that are always idle", returned)
		}
	})
}
