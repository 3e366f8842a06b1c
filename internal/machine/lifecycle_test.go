package machine

import "testing"

// A drain may be called off, and a machine that has been deleted never comes back: under its
// name nothing may start again.
func TestLifecycleOnlyAdvancesButForADrainCalledOff(t *testing.T) {
	events := []lifecycleEvent{drainBegan, drainEnded, deleted, deregistered}
	want := map[Lifecycle][]Lifecycle{ // by event, in the order above
		Serving:  {Draining, Serving, Removing, Gone},
		Draining: {Draining, Serving, Removing, Gone},
		Removing: {Removing, Removing, Removing, Gone},
		Gone:     {Gone, Gone, Gone, Gone},
	}
	for from, next := range want {
		for k, event := range events {
			if got := from.after(event); got != next[k] {
				t.Errorf("stage %d, event %d: %d, wanted %d", from, event, got, next[k])
			}
		}
	}
}
