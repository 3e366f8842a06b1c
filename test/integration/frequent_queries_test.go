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

// Users ask all controllers every few milliseconds, and submit again, right after a job was
// accepted, done or acknowledged as cancelled; some cancel at once. Whatever state one of
// them is in, none answers anything older.
func TestFrequentQueriesNeverGoBack(t *testing.T) {
	for name, degrade := range map[string]func(b *testbed){
		"all are well":            func(*testbed) {},
		"one's watches lag":       func(b *testbed) { b.stateClient("host-1").SetWatchLag(1500 * time.Millisecond) },
		"one is answered slowly":  func(b *testbed) { b.stateClient("host-1").SetFaults(700*time.Millisecond, 0) },
		"one is refused":          func(b *testbed) { b.stateClient("host-1").SetRefuseAll(true) },
		"one restarts repeatedly": func(b *testbed) { go b.restartRepeatedly("host-1") },
		"one has answers lost": func(b *testbed) {
			b.stateClient("host-1").SetLoseAnswersOnly(true)
			b.stateClient("host-1").SetFaults(0, 0.5)
		},
		"one does not reach peers": func(b *testbed) { b.ensureNotLeader("host-1"); b.network.setPartitioned("host-1", true) },
		"one has delayed writes":   func(b *testbed) { b.stateClient("host-1").SetFaults(0, 0.5) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 41, func(b *testbed) {
				b.startRunningJob("host-0", "a", job.Array) // machines are up
				degrade(b)
				var accepted, done, cancelled queryCounts
				var jobs sync.WaitGroup
				for k := range 9 {
					jobs.Go(func() {
						s := arrayJob(b.nextJobID(), 1+k%2)
						if !b.submit(b.hosts[k%3], s, 4*time.Second) {
							return
						}
						if k%3 == 1 { // cancelled at once
							if b.cancel(b.hosts[(k/3)%3], s.ID) {
								b.queryClosely(s, &cancelled)
							}
							return
						}
						b.queryClosely(s, &accepted)
						if k%3 == 2 {
							if b.cancel(b.hosts[(k+1)%3], s.ID) {
								b.queryClosely(s, &cancelled)
							}
							return
						}
						for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
							if _, status := b.queryOnce(b.hosts[k%3], s.ID); status == job.Done {
								b.queryClosely(s, &done)
								return
							}
						}
					})
					time.Sleep(700 * time.Millisecond)
				}
				jobs.Wait()
				for what, counts := range map[string]*queryCounts{"accepted": &accepted, "done": &done, "cancelled": &cancelled} {
					b.t.Logf("%s: %v answers", what, counts.answered)
					if counts.count("host-0") < 30 || counts.count("host-2") < 30 {
						b.t.Errorf("too few requests were answered right after jobs were %s: this shows little", what)
					}
				}
				b.checkNoViolations()
			})
		})
	}
}

// A job was accepted, and now its type of machine is not offered any more, or a job that it
// depends on is long over: submitted once more, unchanged, it is known. It was refused with 422
// before anybody looked whether it is known, which is to forget it.
func TestResubmittedJobIsKnownWhateverChanged(t *testing.T) {
	runScenario(t, 42, func(b *testbed) {
		open, finished := arrayJob(b.nextJobID(), 1), arrayJob(b.nextJobID(), 1)
		if !b.submit("host-0", open, time.Hour) || !b.submit("host-1", finished, time.Second) {
			b.t.Fatal("not accepted")
		}
		b.waitUntil("one is done", time.Minute, func() bool { return b.history.TaskCompleted(job.TaskID(finished.ID, 0)) })
		time.Sleep(5 * time.Second)
		tiny := boxType(defaultBootS)
		tiny.Name, tiny.CPUs, tiny.GPUs, tiny.MemoryGB = "tiny", 0.5, 0.5, 0.5
		b.cloud.SetMachineTypes([]cloud.MachineType{tiny})
		var refusing []string
		b.waitUntil("one of the controllers refuses a new job of that kind", 2*time.Minute, func() bool {
			for _, h := range b.hosts {
				s := arrayJob(b.nextJobID(), 1)
				b.history.RecordInvalidSubmission(s)
				if code, _ := b.callAsUser(h, http.MethodPost, "/submissions", submissionOf(s), 5*time.Second); code == 422 && !slices.Contains(refusing, h) {
					refusing = append(refusing, h)
				}
			}
			return len(refusing) > 0
		})
		for _, h := range refusing {
			for _, s := range []job.Spec{open, finished} {
				if !b.resubmit(h, s) {
					b.t.Errorf("%s, submitted again, is not known at %s", s.ID, h)
				}
			}
		}
		b.checkNoViolations()
	})
}

// Users repeat submissions of jobs that are known. That changes nothing, so it must not use
// up what the state service lets through: transactions whose conditions fail count too.
func TestRepeatedSubmissionsCostNoChanges(t *testing.T) {
	runScenario(t, 43, func(b *testbed) {
		var jobs []job.Spec
		for range 4 {
			s := arrayJob(b.nextJobID(), 1)
			if !b.submit("", s, time.Hour) {
				b.t.Fatal("not accepted")
			}
			jobs = append(jobs, s)
		}
		if !b.cancel("host-0", jobs[0].ID) {
			b.t.Fatal("not cancelled")
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
						b.t.Fatalf("%s is not known at %s", s.ID, h)
					}
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
		if n := b.requestedChanges() - before; n > idle+20 {
			b.t.Errorf("600 repetitions sent %d changes, where %d are sent in as much time without", n, idle)
		}
		b.checkNoViolations()
	})
}

// requestedChanges counts the changes that controllers sent to the state service, carried out
// or not.
func (b *testbed) requestedChanges() (n int) {
	for _, h := range b.hosts {
		n += b.stateClient(h).RequestedChanges()
	}
	return n
}
