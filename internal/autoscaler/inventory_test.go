package autoscaler

import (
	"testing"
	"testing/synctest"
	"time"
)

// A late claim recreates the key of a deleted machine, and the new owner shows the machine as
// draining, a state copied from the former owner. The new owner must be notified repeatedly until
// it removes the key. Before, it was not notified for 10 minutes.
func TestOwnerOfDeletedMachineIsNotifiedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		now := time.Now()
		f.OnDeleted([]string{"m1"}, now)
		for _, step := range []struct {
			after    time.Duration
			notified bool
		}{{time.Second, false}, {2500 * time.Millisecond, true}, {3500 * time.Millisecond, false}, {5 * time.Second, true}} {
			if notified := f.notificationDue("m1", now.Add(step.after)); notified != step.notified {
				t.Errorf("after %v: got notified %v, want %v", step.after, notified, step.notified)
			}
		}
	})
}
