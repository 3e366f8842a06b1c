package integration

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"robinstack/internal/job"
)

// The end of a job's last task meets a cancellation, a question or a repeated submission, at
// any node, some milliseconds before or after, hundreds of times and with no other trouble.
// Each job has one final answer, the same at every node and for good.
func TestEndMeetsCancellationQuestionAndRepetition(t *testing.T) {
	storyOfMachines(t, 91, 5, 40, func(w *world) {
		for _, h := range w.hosts {
			w.port(h).SetFaults(25*time.Millisecond, 0) // between a look and a write there is time
		}
		var mu sync.Mutex
		specs := map[string]job.Spec{}
		finals := map[string]int{}
		n := 0
		meet := func(s job.Spec, k int) {
			host := w.hosts[k%3]
			switch k / 3 % 3 {
			case 0, 1:
				w.history.RecordCancelRequest(s.ID)
				asked := w.history.StampRequest()
				code, status := w.call(host, http.MethodPost, "/submissions/"+s.ID+"/abort", nil, 5*time.Second)
				w.history.RecordResponse("cancel", s.ID, asked, code, status)
				if code == 200 {
					mu.Lock()
					finals[status]++
					mu.Unlock()
				}
			default:
				w.ask1(host, s.ID)
				w.resubmit(w.hosts[(k+1)%3], s)
			}
			w.ask1(w.hosts[(k+2)%3], s.ID)
		}
		w.fleet.OnTaskCompleted(func(task string) {
			id, _, _ := strings.Cut(task, "/")
			mu.Lock()
			s, known := specs[id]
			k := n
			n++
			mu.Unlock()
			if known && k%2 == 0 { // after the end: up to 0.3 s
				time.Sleep(time.Duration(k%61) * 5 * time.Millisecond)
				meet(s, k/2)
			}
		})
		var users sync.WaitGroup
		for k := range 600 {
			s := array(w.id(), 1)
			mu.Lock()
			specs[s.ID] = s
			mu.Unlock()
			users.Go(func() {
				if !w.submit(w.hosts[k%3], s, 2*time.Second) || k%2 == 0 {
					return
				}
				for w.history.TasksOnMachines(s.ID) == 0 && w.ctx.Err() == nil && !w.history.TaskCompleted(job.TaskID(s.ID, 0)) {
					time.Sleep(5 * time.Millisecond)
				}
				// About the end: from 0.15 s before to 0.15 s after.
				time.Sleep(1850*time.Millisecond + time.Duration(k%61)*5*time.Millisecond)
				meet(s, k/2)
			})
			time.Sleep(80 * time.Millisecond)
		}
		users.Wait()
		time.Sleep(20 * time.Second)
		for _, s := range specs {
			seen := map[string]bool{}
			for _, h := range w.hosts {
				asked := w.history.StampRequest()
				code, status := w.call(h, http.MethodGet, "/submissions/"+s.ID, nil, 2*time.Second)
				w.history.RecordResponse("query", s.ID, asked, code, status)
				seen[status] = true
			}
			if len(seen) != 1 || !seen[job.Done] && !seen[job.Cancelled] {
				w.t.Errorf("%s is told as %v", s.ID, seen)
			}
		}
		w.t.Logf("cancellations were answered %v", finals)
		if finals[job.Done] < 30 || finals[job.Cancelled] < 30 {
			w.t.Errorf("cancellations were answered %v: ends were hardly met", finals)
		}
		w.check()
	})
}
