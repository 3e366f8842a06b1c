package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A job is at fault when it failed on three machines, or on two and on one of them again.
func TestFailuresAreAttributed(t *testing.T) {
	for _, c := range []struct {
		machines []string
		want     []attribution
	}{
		{[]string{"m1", "m1", "m1"}, []attribution{faultUndecided, faultUndecided, faultUndecided}},
		{[]string{"m1", "m2", "m3"}, []attribution{faultUndecided, faultUndecided, jobFoundAtFault}},
		{[]string{"m1", "m2", "m1"}, []attribution{faultUndecided, faultUndecided, jobFoundAtFault}},
		{[]string{"m1", "m2", "m2", "m4"}, []attribution{faultUndecided, faultUndecided, jobFoundAtFault, jobKnownAtFault}},
	} {
		var failures failureHistory
		var got []attribution
		for _, machine := range c.machines {
			got = append(got, failures.attribute(machine))
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%v: %v and not %v", c.machines, got, c.want)
		}
	}
}

// The pause doubles with each failure on another machine, and has a bound; a failure on the
// same machine counts only for a job at fault.
func TestBackoffIsBounded(t *testing.T) {
	var failures failureHistory
	failures.attribute("m1")
	failures.attribute("m1")
	if got := failures.backoff(); got != 2*time.Second {
		t.Errorf("%v after two failures on one machine", got)
	}
	for k := range 30 {
		failures.attribute(fmt.Sprintf("m%d", k))
	}
	if got := failures.backoff(); got != maxBackoff {
		t.Errorf("%v after many failures", got)
	}
	failures.clear()
	if got := failures.backoff(); got != time.Second || failures.jobAtFault {
		t.Errorf("%v after a success, at fault %v", got, failures.jobAtFault)
	}
}

// A job keeps away from the machines on which it failed last, for a time.
func TestMachinesAreAvoidedForATime(t *testing.T) {
	var failures failureHistory
	now := time.Unix(10_000, 0)
	for k := range maxAvoided + 2 {
		failures.avoidMachine(fmt.Sprintf("m%d", k), now)
	}
	avoided := failures.avoided(now.Add(avoidDuration))
	if len(avoided) != maxAvoided || avoided[0] != "m2" {
		t.Errorf("avoided: %v", avoided)
	}
	if avoided = failures.avoided(now.Add(avoidDuration + 1)); len(avoided) > 0 {
		t.Errorf("avoided after its time: %v", avoided)
	}
}
