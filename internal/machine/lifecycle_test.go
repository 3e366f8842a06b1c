package machine

import "testing"

// A drain can be cancelled. A deleted machine must never become available again, because nothing
// may start under its name any more.
func TestLifecycleTransitions(t *testing.T) {
	events := []lifecycleEvent{drainStarted, drainCancelled, deleted, deregistered}
	want := map[Lifecycle][]Lifecycle{ // by event, in the order above
		Serving:      {Draining, Serving, Deleted, Deregistered},
		Draining:     {Draining, Serving, Deleted, Deregistered},
		Deleted:      {Deleted, Deleted, Deleted, Deregistered},
		Deregistered: {Deregistered, Deregistered, Deregistered, Deregistered},
	}
	for from, next := range want {
		for k, event := range events {
			if got := from.next(event); got != next[k] {
				t.Errorf("stage %d, event %d: got %d, want %d", from, event, got, next[k])
			}
		}
	}
}
