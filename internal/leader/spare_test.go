package leader

import (
	"fmt"
	"testing"
	"time"
)

// While machines that are idle get work now and then, that many are kept; when a day's
// load has ended, all but a few go after a part of the usual time.
func TestIdleMachinesAreKeptWhileTheyGetWork(t *testing.T) {
	var u uses
	now := time.Time{}.Add(time.Hour)
	present, idlers := map[string]bool{}, []string{}
	for k := range 40 {
		present[fmt.Sprint("m", k)] = true
		idlers = append(idlers, fmt.Sprint("m", k))
	}
	keep := 0
	for k := range 30 { // one a second gets work and is idle again two seconds later
		keep = u.look(now.Add(time.Duration(k)*time.Second), append(idlers[:k%40:k%40], idlers[k%40+1:]...), present)
		if k < 19 && keep < 39 {
			t.Fatalf("%d are kept after %d s: too little was seen", keep, k)
		}
	}
	if keep < 20 || keep > 2*21+usesLeast {
		t.Errorf("%d are kept where one a second gets work", keep)
	}
	for k := 30; k < 60; k++ {
		keep = u.look(now.Add(time.Duration(k)*time.Second), idlers, present)
	}
	if keep != usesLeast {
		t.Errorf("%d are kept where none gets work", keep)
	}
	delete(present, "m1") // returned, not used
	if keep = u.look(now.Add(time.Minute), append([]string{"m0"}, idlers[2:]...), present); keep != usesLeast {
		t.Errorf("%d are kept after one was returned", keep)
	}
}
