package scheduler

import (
	"testing"

	"robinstack/internal/job"
)

// A job never returns to an earlier phase. A durable final record decides the outcome, even against
// the outcome that this scheduler has determined.
func TestJobPhaseNeverGoesBack(t *testing.T) {
	j := &jobState{}
	j.advance(jobRunnable, "")
	if j.phase != jobRunnable || j.isFinished() {
		t.Fatalf("got phase %d, want jobRunnable", j.phase)
	}
	j.advance(jobFinished, job.Done)
	j.advance(jobRunnable, "")
	if j.phase != jobFinished || j.outcome != job.Done {
		t.Errorf("after the job was done: got phase %d, outcome %q, want jobFinished, %q", j.phase, j.outcome, job.Done)
	}
	j.advance(jobRecorded, job.Cancelled)
	j.advance(jobFinished, job.Done)
	if j.phase != jobRecorded || j.outcome != job.Cancelled {
		t.Errorf("after the cancellation was recorded: got phase %d, outcome %q, want jobRecorded, %q",
			j.phase, j.outcome, job.Cancelled)
	}
}
