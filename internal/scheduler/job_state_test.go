package scheduler

import (
	"testing"

	"robinstack/internal/job"
)

// A job never returns to an earlier phase; a final record decides its outcome, also against
// what was found here.
func TestJobPhaseNeverGoesBack(t *testing.T) {
	j := &jobState{}
	j.advance(jobRunnable, "")
	if j.phase != jobRunnable || j.isFinished() {
		t.Fatalf("phase %d", j.phase)
	}
	j.advance(jobFinished, job.Done)
	j.advance(jobRunnable, "")
	if j.phase != jobFinished || j.outcome != job.Done {
		t.Errorf("phase %d, %q after it was done", j.phase, j.outcome)
	}
	j.advance(jobRecorded, job.Cancelled)
	j.advance(jobFinished, job.Done)
	if j.phase != jobRecorded || j.outcome != job.Cancelled {
		t.Errorf("phase %d, %q after its cancellation was recorded", j.phase, j.outcome)
	}
}
