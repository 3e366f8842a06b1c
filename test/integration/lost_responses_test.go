package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// Guards against a controller that mistakes the result of its own write for another controller's,
// or the reverse. For a while, transactions are applied and only their responses are lost, while
// users submit, cancel and query elsewhere and the holder of a role crashes. This affects
// submissions, cancellations, completions, the acquisition of every role and claims of machines.
func TestAppliedTransactionsWithLostResponses(t *testing.T) {
	for _, share := range []float64{0.4, 1} {
		for _, f := range failovers(roles) {
			t.Run(fmt.Sprint(share, " of the transactions, ", f), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 51, func(b *testbed) {
					long := b.startRunningJob("host-0", "b", job.Array)
					b.setLoseResponsesOnly(true)
					b.setStateFaults(0, share)
					before := b.appliedUnansweredTxns()
					for k := range 12 {
						s := arrayJob(b.nextJobID(), 1+k%3)
						go b.submitStaggered("", s, 5*time.Second, 3*time.Second)
						if k%3 == 0 {
							go func() { time.Sleep(3 * time.Second); b.cancel("", s.ID) }()
						}
					}
					time.Sleep(4 * time.Second)
					restart := b.crashRole(f, long.ID)
					go b.cancel("host-2", long.ID)
					time.Sleep(max(20*time.Second, f.downtime+10*time.Second))
					for range 2 {
						go b.submit("", withShape(job.Gang, arrayJob(b.nextJobID(), 2)), 5*time.Second)
					}
					time.Sleep(15 * time.Second)
					b.setStateFaults(0, 0)
					n := b.appliedUnansweredTxns() - before
					if b.t.Logf("%d transactions were applied without a response", n); n < 10 {
						b.t.Error("scenario hardly exercised: want at least 10 applied without a response")
					}
					restart()
					b.history.RecordFaultsEnded()
					b.cancel("", long.ID) // the cancellation during the fault may have timed out
					time.Sleep(5 * time.Minute)
					b.history.CheckFinalState()
					b.checkNoViolations()
				})
			})
		}
	}
}

// appliedUnansweredTxns returns the number of transactions of all controllers that were applied and
// got no response.
func (b *testbed) appliedUnansweredTxns() (n int) {
	for _, h := range b.hosts {
		n += b.stateClient(h).AppliedUnansweredTxns()
	}
	return n
}

// The response to one transaction is lost, and all controllers are queried before the sender knows
// the outcome. The others report what it wrote, and the sender must not report anything older
// afterwards.
func TestPeersAnswerWhatWriterDoesNotKnowYet(t *testing.T) {
	for _, verb := range []string{"submit", "cancel"} {
		t.Run(verb, func(t *testing.T) {
			runScenario(t, 52, func(b *testbed) {
				s := arrayJob(b.nextJobID(), 1)
				b.history.RecordSubmission(s)
				b.cloud.SetRunTimes(s.ID, time.Hour, 0)
				path, key, want := "/submissions", job.RecordKey(s.ID), job.Queued
				if verb == "cancel" {
					if !b.submit("host-0", s, time.Hour) {
						b.t.Fatal("the job was not accepted")
					}
					b.waitUntil("the task is running", time.Minute, func() bool {
						return b.history.TasksOnMachines(s.ID) == 1
					})
					time.Sleep(15 * time.Second)
					b.history.RecordCancelRequest(s.ID)
					path, key, want = path+"/"+s.ID+"/abort", statekv.RootPrefix+"final/"+s.ID, job.Cancelled
				} else {
					time.Sleep(15 * time.Second)
				}
				b.stateClient("host-1").SetLoseResponsesOnly(true)
				b.stateClient("host-1").DelayNextTxns(3)
				before := b.stateClient("host-1").AppliedUnansweredTxns()
				requestedAt := b.history.NextRequestTime()
				done := make(chan struct{})
				go func() {
					defer close(done)
					code, status := b.callAsUser("host-1", http.MethodPost, path, submissionOf(s), 5*time.Second)
					b.history.RecordResponse(verb, s.ID, requestedAt, code, status)
					if code/100 != 2 || status != want {
						b.t.Errorf("response of the sender: got code %d and status %q, want success and %q",
							code, status, want)
					}
				}()
				for end := time.Now().Add(2 * time.Second); b.keyRevision(key) == 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				if b.stateClient("host-1").AppliedUnansweredTxns() == before {
					b.t.Fatal("scenario not exercised: no response was lost")
				}
				var counts queryCounts
				b.queryFrequently(s, &counts)
				<-done
				b.queryFrequently(s, &counts)
				if counts.count("host-0") < 20 || counts.count("host-1") < 20 || counts.count("host-2") < 20 {
					b.t.Errorf("scenario hardly exercised: answered requests: got %v, want at least 20 each",
						counts.answered)
				}
				if verb == "submit" {
					b.cancel("host-2", s.ID)
				}
				time.Sleep(10 * time.Second)
				b.checkNoViolations()
			})
		})
	}
}
