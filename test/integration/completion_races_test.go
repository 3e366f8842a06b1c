package integration

import (
	"strings"
	"sync"
	"testing"
	"time"

	"robinstack/internal/job"
)

// Guards against a job with two final statuses. The last task of a job completes within
// milliseconds of a cancellation, a query or a repeated submission at any controller; this is
// repeated for hundreds of jobs without any fault. Each job must have one final status, which is
// the same at every controller and does not change.
func TestCompletionRacesCancelQueryAndResubmission(t *testing.T) {
	runScenarioWithMachines(t, 91, 5, 40, func(b *testbed) {
		b.setStateFaults(25*time.Millisecond, 0) // leaves time between a read and the write that follows it
		var mu sync.Mutex
		specs := map[string]job.Spec{}
		finals := map[string]int{}
		completions := 0
		race := func(s job.Spec, k int) {
			host := b.hosts[k%3]
			switch k / 3 % 3 {
			case 0, 1:
				b.history.RecordCancelRequest(s.ID)
				code, status := b.cancelOnce(host, s.ID)
				if code == 200 {
					mu.Lock()
					finals[status]++
					mu.Unlock()
				}
			default:
				b.queryOnce(host, s.ID)
				b.resubmit(b.hosts[(k+1)%3], s)
			}
			b.queryOnce(b.hosts[(k+2)%3], s.ID)
		}
		b.cloud.OnTaskCompleted(func(task string) {
			id, _, _ := strings.Cut(task, "/")
			mu.Lock()
			s, known := specs[id]
			k := completions
			completions++
			mu.Unlock()
			if known && k%2 == 0 { // up to 0.3 s after the completion
				time.Sleep(time.Duration(k%61) * 5 * time.Millisecond)
				race(s, k/2)
			}
		})
		var users sync.WaitGroup
		for k := range 600 {
			s := arrayJob(b.nextJobID(), 1)
			mu.Lock()
			specs[s.ID] = s
			mu.Unlock()
			users.Go(func() {
				if !b.submit(b.hosts[k%3], s, 2*time.Second) || k%2 == 0 {
					return
				}
				for b.history.TasksOnMachines(s.ID) == 0 && b.ctx.Err() == nil && !b.history.TaskCompleted(job.TaskID(s.ID, 0)) {
					time.Sleep(5 * time.Millisecond)
				}
				// From 0.15 s before to 0.15 s after the completion.
				time.Sleep(1850*time.Millisecond + time.Duration(k%61)*5*time.Millisecond)
				race(s, k/2)
			})
			time.Sleep(80 * time.Millisecond)
		}
		users.Wait()
		time.Sleep(20 * time.Second)
		for _, s := range specs {
			seen := map[string]bool{}
			for _, h := range b.hosts {
				_, status := b.queryOnce(h, s.ID)
				seen[status] = true
			}
			if len(seen) != 1 || !seen[job.Done] && !seen[job.Cancelled] {
				b.t.Errorf("statuses of %s at all controllers: got %v, want one final status", s.ID, seen)
			}
		}
		b.t.Logf("statuses in responses to cancellations: %v", finals)
		if finals[job.Done] < 30 || finals[job.Cancelled] < 30 {
			b.t.Errorf("scenario hardly exercised: responses to cancellations: got %v, want 30 of each status",
				finals)
		}
		b.checkNoViolations()
	})
}
