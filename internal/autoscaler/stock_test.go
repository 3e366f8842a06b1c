package autoscaler

import (
	"testing"
	"testing/synctest"
	"time"
)

// A machine that was deleted has its key again, by a late claim, and its owner shows it as
// draining, which is what it took over: that owner is notified, and again until the key
// is gone. It was not for ten minutes.
func TestOwnerOfADeletedMachineIsNotifiedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		now := time.Now()
		f.OnDeleted([]string{"m1"}, now)
		for _, step := range []struct {
			after    time.Duration
			notified bool
		}{{time.Second, false}, {2500 * time.Millisecond, true}, {3500 * time.Millisecond, false}, {5 * time.Second, true}} {
			if notified := f.notificationDue("m1", now.Add(step.after)); notified != step.notified {
				t.Errorf("after %v: notified %v", step.after, notified)
			}
		}
	})
}
