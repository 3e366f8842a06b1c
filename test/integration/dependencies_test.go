package integration

import (
	"testing"
	"time"

	"robinstack/internal/job"
)

// The jobs of a dependency chain belong to three controllers in turn. Each controller crashes just
// when the job before its own completes. No job may start too early, and all must complete.
func TestDependencyChainAcrossControllers(t *testing.T) {
	for _, downtime := range []time.Duration{200 * time.Millisecond, 15 * time.Second} {
		t.Run(downtime.String(), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 21, func(b *testbed) {
				var chain []job.Spec
				for k, h := range append(b.hosts, b.hosts...) {
					s := arrayJob(b.nextJobID(), 1+k%2)
					if k > 0 {
						s.WaitsOn = []string{chain[k-1].ID}
					}
					if !b.submit(h, s, 8*time.Second) {
						b.t.Fatal("the job was not accepted")
					}
					chain = append(chain, s)
				}
				for k, s := range chain[:len(chain)-1] {
					b.waitUntil("the last task of the job has completed", 3*time.Minute, func() bool {
						return b.history.TaskCompleted(job.TaskID(s.ID, s.Tasks-1))
					})
					h := b.hosts[(k+1)%3]
					b.crash(h)
					time.Sleep(downtime)
					b.start(h)
				}
				time.Sleep(2 * time.Minute)
				b.history.CheckFinalState()
				b.checkNoViolations()
			})
		})
	}
}

// A thousand jobs depend on a job that is cancelled, while the state service accepts few changes.
// Every controller must report all of them as cancelled within the cancellation deadline; their
// records are written later, as fast as the limit allows.
func TestCancelledDependencyOfThousandJobsUnderLowWriteLimit(t *testing.T) {
	runScenario(t, 22, func(b *testbed) {
		time.Sleep(2 * time.Minute) // until the feature gate of dependencies is open
		first := arrayJob(b.nextJobID(), 1)
		b.submit("host-0", first, time.Hour)
		var ids []string
		for k := range 1000 {
			s := arrayJob(b.nextJobID(), 1)
			s.WaitsOn = []string{first.ID}
			b.history.RecordSubmission(s)
			code, _ := b.submitOnce(b.hosts[k%3], s.ID, submissionOf(s))
			if code != 201 {
				b.t.Fatalf("submission of %s: got status code %d, want 201", s.ID, code)
			}
			ids = append(ids, s.ID)
		}
		b.setChangeRate(20)
		if !b.cancel("host-1", first.ID) {
			b.t.Fatal("the cancellation was not acknowledged")
		}
		time.Sleep(workers.CancellationDeadline - 20*time.Second)
		for k, id := range ids {
			code, status := b.queryOnce(b.hosts[k%3], id)
			if status != job.Cancelled {
				b.t.Fatalf("status of %s: got code %d and %q, want %q", id, code, status, job.Cancelled)
			}
		}
		b.waitUntil("no open job record is left", 5*time.Minute, func() bool {
			return len(b.state.ListAll(job.RecordPrefix)) == 0
		})
		b.t.Logf("all jobs were recorded as cancelled %v after the acknowledgement",
			time.Since(b.history.CancelAcknowledgedAt(first.ID)))
		b.checkNoViolations()
	})
}
