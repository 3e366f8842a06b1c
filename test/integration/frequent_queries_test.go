package integration

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
)

// Guards against a controller that reports an older status than one that was already reported.
// Users query all controllers every few milliseconds and repeat their submissions, right after a
// job was accepted, done or acknowledged as cancelled, while one of the controllers is degraded.
func TestFrequentQueriesNeverGoBack(t *testing.T) {
	for name, degrade := range map[string]func(b *testbed){
		"no fault": func(*testbed) {},
		"watches of one controller lag": func(b *testbed) {
			b.stateClient("host-1").SetWatchLag(1500 * time.Millisecond)
		},
		"the state service is slow for one controller": func(b *testbed) {
			b.stateClient("host-1").SetLatencyAndTxnDelays(700*time.Millisecond, 0)
		},
		"the state service rejects one controller": func(b *testbed) { b.stateClient("host-1").SetRejectAll(true) },
		"one controller restarts repeatedly":       func(b *testbed) { go b.restartRepeatedly("host-1") },
		"responses to one controller are lost": func(b *testbed) {
			b.stateClient("host-1").SetLoseResponsesOnly(true)
			b.stateClient("host-1").SetLatencyAndTxnDelays(0, 0.5)
		},
		"one controller is partitioned from its peers": func(b *testbed) {
			b.ensureNotLeader("host-1")
			b.network.setPartitioned("host-1", true)
		},
		"writes of one controller are delayed": func(b *testbed) { b.stateClient("host-1").SetLatencyAndTxnDelays(0, 0.5) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 41, func(b *testbed) {
				b.startRunningJob("host-0", "a", job.Array) // so that machines are up
				degrade(b)
				var accepted, done, cancelled queryCounts
				var jobs sync.WaitGroup
				for k := range 9 {
					jobs.Go(func() {
						s := arrayJob(b.nextJobID(), 1+k%2)
						if !b.submit(b.hosts[k%3], s, 4*time.Second) {
							return
						}
						if k%3 == 1 { // cancelled as soon as it is accepted
							if b.cancel(b.hosts[(k/3)%3], s.ID) {
								b.queryFrequently(s, &cancelled)
							}
							return
						}
						b.queryFrequently(s, &accepted)
						if k%3 == 2 {
							if b.cancel(b.hosts[(k+1)%3], s.ID) {
								b.queryFrequently(s, &cancelled)
							}
							return
						}
						for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
							if _, status := b.queryOnce(b.hosts[k%3], s.ID); status == job.Done {
								b.queryFrequently(s, &done)
								return
							}
						}
					})
					time.Sleep(700 * time.Millisecond)
				}
				jobs.Wait()
				for what, counts := range map[string]*queryCounts{
					"accepted": &accepted, "done": &done, "cancelled": &cancelled,
				} {
					b.t.Logf("answered requests about jobs that were %s, by controller: %v", what, counts.answered)
					if counts.count("host-0") < 30 || counts.count("host-2") < 30 {
						b.t.Errorf("scenario hardly exercised: too few answered requests right after jobs were %s",
							what)
					}
				}
				b.checkNoViolations()
			})
		})
	}
}

// Guards against forgetting an accepted job. A job was accepted, and later its machine type is no
// longer offered. The same submission, repeated, must be recognized as known. It was rejected with
// 422 because it was validated before the lookup of known jobs.
func TestResubmittedJobIsKnownWhateverChanged(t *testing.T) {
	runScenario(t, 42, func(b *testbed) {
		open, finished := arrayJob(b.nextJobID(), 1), arrayJob(b.nextJobID(), 1)
		if !b.submit("host-0", open, time.Hour) || !b.submit("host-1", finished, time.Second) {
			b.t.Fatal("the job was not accepted")
		}
		b.waitUntil("one job is done", time.Minute, func() bool {
			return b.history.TaskCompleted(job.TaskID(finished.ID, 0))
		})
		time.Sleep(5 * time.Second)
		tiny := boxType(defaultBootS)
		tiny.Name, tiny.CPUs, tiny.GPUs, tiny.MemoryGB = "tiny", 0.5, 0.5, 0.5
		b.cloud.SetMachineTypes([]cloud.MachineType{tiny})
		var rejecting []string
		b.waitUntil("a controller rejects a new job for lack of a suitable machine type", 2*time.Minute, func() bool {
			for _, h := range b.hosts {
				s := arrayJob(b.nextJobID(), 1)
				b.history.RecordInvalidSubmission(s)
				if code, _ := b.callAsUser(h, http.MethodPost, "/submissions", submissionOf(s), 5*time.Second); code == 422 && !slices.Contains(rejecting, h) {
					rejecting = append(rejecting, h)
				}
			}
			return len(rejecting) > 0
		})
		for _, h := range rejecting {
			for _, s := range []job.Spec{open, finished} {
				if !b.resubmit(h, s) {
					b.t.Errorf("repeated submission of %s at %s: the known job was not accepted", s.ID, h)
				}
			}
		}
		b.checkNoViolations()
	})
}

// Users repeat submissions of known jobs. This changes nothing, so it must not use up the write
// limit of the state service, where transactions whose compares fail count as well.
func TestRepeatedSubmissionsCostNoChanges(t *testing.T) {
	runScenario(t, 43, func(b *testbed) {
		var jobs []job.Spec
		for range 4 {
			s := arrayJob(b.nextJobID(), 1)
			if !b.submit("", s, time.Hour) {
				b.t.Fatal("the job was not accepted")
			}
			jobs = append(jobs, s)
		}
		if !b.cancel("host-0", jobs[0].ID) {
			b.t.Fatal("the cancellation was not acknowledged")
		}
		time.Sleep(30 * time.Second)
		before := b.requestedChanges()
		time.Sleep(10 * time.Second)
		idle := b.requestedChanges() - before
		before = b.requestedChanges()
		for range 50 {
			for _, s := range jobs {
				for _, h := range b.hosts {
					if !b.resubmit(h, s) {
						b.t.Fatalf("repeated submission of %s at %s: the known job was not accepted", s.ID, h)
					}
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
		if n := b.requestedChanges() - before; n > idle+20 {
			b.t.Errorf("600 repeated submissions: got %d changes, want at most %d + 20",
				n, idle)
		}
		b.checkNoViolations()
	})
}

// requestedChanges returns the number of changes that the controllers requested from the state
// service, applied or not.
func (b *testbed) requestedChanges() (n int) {
	for _, h := range b.hosts {
		n += b.stateClient(h).RequestedChanges()
	}
	return n
}
