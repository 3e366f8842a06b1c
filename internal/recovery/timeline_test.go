package recovery

import (
	"testing"
	"testing/synctest"
	"time"
)

// Of most steps the first time counts, of settling the last: slots are taken over
// one after the other.
func TestStepsOfALife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewTimeline(time.Now())
		time.Sleep(time.Second)
		c.Record(StepReady)
		c.Record(StepReconciled)
		time.Sleep(2 * time.Second)
		c.Record(StepReady)
		c.Record(StepReconciled)
		if got := c.Seconds(); got[StepReady] != 1 || got[StepReconciled] != 3 || len(got) != 2 {
			t.Fatal(got)
		}
		var none *Timeline
		none.Record(StepRegistered)
		if len(none.Seconds()) != 0 {
			t.Fatal("a clock that is not there took notes")
		}
	})
}
