package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// Transactions are carried out at once and only their answers are lost, for a while, while
// users submit, cancel and ask elsewhere and leaders end: submissions, cancellations, ends
// of tasks, takings of every role and claims of machines. Nobody takes the trace of his own
// write for another's, nor another's for his own.
func TestOnlyTheAnswerIsLost(t *testing.T) {
	for _, share := range []float64{0.4, 1} {
		for _, role := range leaders {
			for _, back := range backsOf(role) {
				t.Run(fmt.Sprint(share, " of them, the ", role, " is back after ", back), func(t *testing.T) {
					t.Parallel()
					story(t, 51, func(w *world) {
						long := w.running("host-0", "b", job.Array)
						for _, h := range w.hosts {
							w.port(h).SetLoseAnswersOnly(true)
							w.port(h).SetFaults(0, share)
						}
						lost := w.lostAnswers()
						for k := range 12 {
							s := array(w.id(), 1+k%3)
							go w.submitApart("", s, 5*time.Second, 3*time.Second)
							if k%3 == 0 {
								go func() { time.Sleep(3 * time.Second); w.cancel("", s.ID) }()
							}
						}
						time.Sleep(4 * time.Second)
						bring := w.end(w.leading(role, long.ID), back)
						go w.cancel("host-2", long.ID)
						time.Sleep(max(20*time.Second, back+10*time.Second))
						for range 2 {
							go w.submit("", shaped(job.Gang, array(w.id(), 2)), 5*time.Second)
						}
						time.Sleep(15 * time.Second)
						for _, h := range w.hosts {
							w.port(h).SetFaults(0, 0)
						}
						n := w.lostAnswers() - lost
						if w.t.Logf("%d transactions were carried out without an answer", n); n < 10 {
							w.t.Error("this shows little")
						}
						bring()
						w.history.RecordFaultsEnded()
						w.cancel("", long.ID) // its user may have given up
						time.Sleep(5 * time.Minute)
						w.history.CheckFinalState()
						w.check()
					})
				})
			}
		}
	}
}

func (w *world) lostAnswers() (n int) {
	for _, h := range w.hosts {
		n += w.port(h).AppliedUnansweredTxns()
	}
	return n
}

// The answer to one transaction is lost, and before the controller that sent it knows, all
// others are asked: they tell what it wrote, and it tells nothing older then.
func TestOthersTellWhatItsWriterDoesNotKnow(t *testing.T) {
	for _, verb := range []string{"submit", "cancel"} {
		t.Run(verb, func(t *testing.T) {
			story(t, 52, func(w *world) {
				s := array(w.id(), 1)
				w.history.RecordSubmission(s)
				w.fleet.SetRunTimes(s.ID, time.Hour, 0)
				path, key, want := "/submissions", job.RecordKey(s.ID), job.Queued
				if verb == "cancel" {
					if !w.submit("host-0", s, time.Hour) {
						w.t.Fatal("not accepted")
					}
					w.until("it runs", time.Minute, func() bool { return w.history.TasksOnMachines(s.ID) == 1 })
					time.Sleep(15 * time.Second)
					w.history.RecordCancelRequest(s.ID)
					path, key, want = path+"/"+s.ID+"/abort", statekv.RootPrefix+"final/"+s.ID, job.Cancelled
				} else {
					time.Sleep(15 * time.Second)
				}
				w.port("host-1").SetLoseAnswersOnly(true)
				w.port("host-1").DelayNextTxns(3)
				before := w.port("host-1").AppliedUnansweredTxns()
				asked := w.history.StampRequest()
				done := make(chan struct{})
				go func() {
					defer close(done)
					code, status := w.call("host-1", http.MethodPost, path, wireSpec(s), 5*time.Second)
					w.history.RecordResponse(verb, s.ID, asked, code, status)
					if code/100 != 2 || status != want {
						w.t.Errorf("its writer answers %d %s", code, status)
					}
				}()
				for end := time.Now().Add(2 * time.Second); w.rev(key) == 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				if w.port("host-1").AppliedUnansweredTxns() == before {
					w.t.Fatal("no answer was lost: this shows nothing")
				}
				var l looks
				w.lookClosely(s, &l)
				<-done
				w.lookClosely(s, &l)
				if l.at("host-0") < 20 || l.at("host-1") < 20 || l.at("host-2") < 20 {
					w.t.Errorf("answers: %v", l.answered)
				}
				if verb == "submit" {
					w.cancel("host-2", s.ID)
				}
				time.Sleep(10 * time.Second)
				w.check()
			})
		})
	}
}
