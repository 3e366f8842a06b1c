package recovery

import (
	"testing"
	"testing/synctest"
	"time"
)

// Job shards are reconciled one after another, so the last reconciliation counts; of all other
// steps the first time counts. Also guards against a nil Timeline that fails instead of recording
// nothing.
func TestTimelineKeepsFirstTimesAndLastReconciliation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timeline := NewTimeline(time.Now())
		time.Sleep(time.Second)
		timeline.Record(StepReady)
		timeline.Record(StepReconciled)
		time.Sleep(2 * time.Second)
		timeline.Record(StepReady)
		timeline.Record(StepReconciled)
		if got := timeline.Seconds(); got[StepReady] != 1 || got[StepReconciled] != 3 || len(got) != 2 {
			t.Fatalf("got %v, want %s at 1 s, %s at 3 s and no other step", got, StepReady, StepReconciled)
		}
		var missing *Timeline
		missing.Record(StepRegistered)
		if len(missing.Seconds()) != 0 {
			t.Fatal("a nil Timeline recorded a step")
		}
	})
}
