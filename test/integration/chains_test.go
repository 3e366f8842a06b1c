package integration

import (
	"net/http"
	"testing"
	"time"

	"robinstack/internal/job"
)

// A chain of jobs lies with three controllers, one job with each. Each controller in turn
// ends just when the job before its own does; none starts too early, and the chain comes to
// its end.
func TestChainOverThreeControllers(t *testing.T) {
	for _, back := range []time.Duration{200 * time.Millisecond, 15 * time.Second} {
		t.Run(back.String(), func(t *testing.T) {
			t.Parallel()
			story(t, 21, func(w *world) {
				var chain []job.Spec
				for k, h := range append(w.hosts, w.hosts...) {
					s := array(w.id(), 1+k%2)
					if k > 0 {
						s.WaitsOn = []string{chain[k-1].ID}
					}
					if !w.submit(h, s, 8*time.Second) {
						w.t.Fatal("not accepted")
					}
					chain = append(chain, s)
				}
				for k, s := range chain[:len(chain)-1] {
					w.until("it has run", 3*time.Minute, func() bool { return w.history.TaskCompleted(job.TaskID(s.ID, s.Tasks-1)) })
					h := w.hosts[(k+1)%3]
					w.crash(h)
					time.Sleep(back)
					w.start(h)
				}
				time.Sleep(2 * time.Minute)
				w.history.CheckFinalState()
				w.check()
			})
		})
	}
}

// A thousand jobs wait for one that is cancelled, while the state service lets few changes
// through: within the cancellation time every user is told, whoever is asked, and the
// records follow at the pace that there is room for.
func TestThousandWithdrawnWhereFewChangesAreLetThrough(t *testing.T) {
	story(t, 22, func(w *world) {
		time.Sleep(2 * time.Minute) // pipelines are on
		first := array(w.id(), 1)
		w.submit("host-0", first, time.Hour)
		var ids []string
		for k := range 1000 {
			s := array(w.id(), 1)
			s.WaitsOn = []string{first.ID}
			w.history.RecordSubmission(s)
			asked := w.history.StampRequest()
			code, status := w.call(w.hosts[k%3], http.MethodPost, "/submissions", wireSpec(s), 5*time.Second)
			w.history.RecordResponse("submit", s.ID, asked, code, status)
			if code != 201 {
				w.t.Fatalf("%s was answered with %d", s.ID, code)
			}
			ids = append(ids, s.ID)
		}
		for _, h := range w.hosts {
			w.port(h).SetChangeRate(20)
		}
		if !w.cancel("host-1", first.ID) {
			w.t.Fatal("not told as cancelled")
		}
		time.Sleep(workers.CancellationDeadline - 20*time.Second)
		for k, id := range ids {
			asked := w.history.StampRequest()
			code, status := w.call(w.hosts[k%3], http.MethodGet, "/submissions/"+id, nil, 2*time.Second)
			w.history.RecordResponse("query", id, asked, code, status)
			if status != job.Cancelled {
				w.t.Fatalf("%s is told as %d %s", id, code, status)
			}
		}
		w.until("all are recorded", 5*time.Minute, func() bool { return len(w.state.ListAll(job.RecordPrefix)) == 0 })
		w.t.Logf("all were recorded %v after the cancellation", time.Since(w.history.CancelAcknowledgedAt(first.ID)))
		w.check()
	})
}
