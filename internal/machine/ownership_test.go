package machine

import (
	"testing"
	"time"
)

// Guards against two attempts at a task running at the same time (history rule ran_twice). In a
// controller with too little CPU time, an answer started at 113 s was recorded after one started at
// 123 s, and set the renewal of the worker lease back by ten seconds. The lease counted as expired
// too early, and tasks that still ran were started on other machines.
func TestLateAnswerDoesNotShortenWorkerLease(t *testing.T) {
	var o Ownership
	later := time.Now()
	o.RecordAnswer(later)
	o.RecordAnswer(later.Add(-10 * time.Second))
	if !o.lastPossibleRenewal.Equal(later) {
		t.Fatalf("last possible renewal moved back by %v, want it unchanged", later.Sub(o.lastPossibleRenewal))
	}
}
