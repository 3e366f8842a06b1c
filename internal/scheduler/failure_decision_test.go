package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A job is at fault once it has failed on three machines, or on two machines and again on one of
// them.
func TestFailureAttribution(t *testing.T) {
	for _, test := range []struct {
		machines []string
		want     []attribution
	}{
		{[]string{"m1", "m1", "m1"}, []attribution{faultUndecided, faultUndecided, faultUndecided}},
		{[]string{"m1", "m2", "m3"}, []attribution{faultUndecided, faultUndecided, jobFoundAtFault}},
		{[]string{"m1", "m2", "m1"}, []attribution{faultUndecided, faultUndecided, jobFoundAtFault}},
		{[]string{"m1", "m2", "m2", "m4"}, []attribution{
			faultUndecided, faultUndecided, jobFoundAtFault, jobKnownAtFault}},
	} {
		var failures failureHistory
		var got []attribution
		for _, machine := range test.machines {
			got = append(got, failures.attribute(machine))
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%v: got %v, want %v", test.machines, got, test.want)
		}
	}
}

// The backoff doubles with each failure on another machine up to maxBackoff. A repeated failure on
// the same machine counts only for a job at fault.
func TestBackoffIsBounded(t *testing.T) {
	var failures failureHistory
	failures.attribute("m1")
	failures.attribute("m1")
	if got := failures.backoff(); got != 2*time.Second {
		t.Errorf("got backoff %v after two failures on one machine, want 2s", got)
	}
	for k := range 30 {
		failures.attribute(fmt.Sprintf("m%d", k))
	}
	if got := failures.backoff(); got != maxBackoff {
		t.Errorf("got backoff %v after many failures, want %v", got, maxBackoff)
	}
	failures.clear()
	if got := failures.backoff(); got != time.Second || failures.jobAtFault {
		t.Errorf("got backoff %v and job at fault %v after a success, want 1s and false", got, failures.jobAtFault)
	}
}

// A job avoids the machines of its latest failures, at most maxAvoided, for avoidDuration.
func TestMachineAvoidanceExpires(t *testing.T) {
	var failures failureHistory
	now := time.Unix(10_000, 0)
	for k := range maxAvoided + 2 {
		failures.avoidMachine(fmt.Sprintf("m%d", k), avoidDuration, now)
	}
	avoided := failures.avoided(now.Add(avoidDuration))
	if len(avoided) != maxAvoided || avoided[0] != "m2" {
		t.Errorf("got avoided machines %v, want the latest %d", avoided, maxAvoided)
	}
	if avoided = failures.avoided(now.Add(avoidDuration + 1)); len(avoided) > 0 {
		t.Errorf("got avoided machines %v after avoidDuration, want none", avoided)
	}
}
