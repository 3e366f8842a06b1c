package recovery

import (
	"testing"
	"testing/synctest"
	"time"
)

// Of most steps the first time counts, of the reconciliation the last: job shards are taken over
// one after the other.
func TestTimelineKeepsFirstTimesAndTheLastReconciliation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timeline := NewTimeline(time.Now())
		time.Sleep(time.Second)
		timeline.Record(StepReady)
		timeline.Record(StepReconciled)
		time.Sleep(2 * time.Second)
		timeline.Record(StepReady)
		timeline.Record(StepReconciled)
		if got := timeline.Seconds(); got[StepReady] != 1 || got[StepReconciled] != 3 || len(got) != 2 {
			t.Fatal(got)
		}
		var none *Timeline
		none.Record(StepRegistered)
		if len(none.Seconds()) != 0 {
			t.Fatal("a timeline that is not there recorded a step")
		}
	})
}
