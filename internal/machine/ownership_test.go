package machine

import (
	"testing"
	"time"
)

// In a controller short of processor time an answer that was begun at 113 s was
// given after one at 123 s and set the end of the worker's lease back by ten
// seconds: its tasks were started elsewhere while they ran. Guards against ran_twice.
func TestLateAnswerDoesNotShortenWorkerLease(t *testing.T) {
	var o Ownership
	later := time.Now()
	o.NoteAnswer(later)
	o.NoteAnswer(later.Add(-10 * time.Second))
	if !o.answersUntil.Equal(later) {
		t.Fatalf("set back by %v", later.Sub(o.answersUntil))
	}
}
