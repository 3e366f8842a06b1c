package integration

import (
	"encoding/json"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

func (w *world) rev(key string) uint64 {
	for _, kv := range w.state.ListAll(key) {
		if kv.Key == key {
			return kv.Rev
		}
	}
	return 0
}

// A registration has no answer, the word that ends its lease is lost too, and it is carried
// out when the same host's next life goes on already. That life must not be replaced by a
// key that nobody renews: all its roles would change hands.
func TestLateRegistrationDoesNotReplaceTheNextLife(t *testing.T) {
	story(t, 1, func(w *world) {
		w.crash("host-0")
		time.Sleep(6 * time.Second)
		w.port("host-0").SetFaults(0, 1)
		w.port("host-0").SetTxnDelay(3*time.Second, true)
		w.start("host-0")
		time.Sleep(time.Second)
		w.port("host-0").SetFaults(0, 0)
		w.until("the next life is registered", 10*time.Second, func() bool { return w.rev(statekv.SessionPrefix+"host-0") > 0 })
		began := w.rev(statekv.SessionPrefix + "host-0")
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			if now := w.rev(statekv.SessionPrefix + "host-0"); now != began {
				w.t.Fatalf("its key went from revision %d to %d", began, now)
			}
		}
		w.check()
	})
}

// The machine types are written down without an answer, written again, and then the first
// copy is carried out: it must not bring back what was offered then.
func TestLateMachineTypesDoNotReplaceNewerOnes(t *testing.T) {
	story(t, 2, func(w *world) {
		w.until("types are kept", time.Minute, func() bool { return w.rev(statekv.MachineTypesKey) > 0 })
		for _, h := range w.hosts {
			w.port(h).SetFaults(0, 1)
			w.port(h).SetTxnDelay(30*time.Second, false)
		}
		if _, err := w.state.Txn(w.ctx, nil, []statekv.Op{{Delete: statekv.MachineTypesKey}}); err != nil {
			w.t.Fatal(err)
		}
		time.Sleep(23 * time.Second)
		for _, h := range w.hosts {
			w.port(h).SetFaults(0, 0)
		}
		w.until("they are written again", 30*time.Second, func() bool { return w.rev(statekv.MachineTypesKey) > 0 })
		kept := w.rev(statekv.MachineTypesKey)
		time.Sleep(time.Minute)
		if now := w.rev(statekv.MachineTypesKey); now != kept {
			w.t.Errorf("the types went from revision %d to %d", kept, now)
		}
		w.check()
	})
}

// holder is the host that a role's key names.
func (w *world) holder(key string) string {
	for _, kv := range w.state.ListAll(key) {
		var h statekv.Holder
		if kv.Key == key && json.Unmarshal(kv.Value, &h) == nil {
			return h.Host
		}
	}
	return ""
}

// The steward ends, and the taking of its role has no answer and is carried out late: whoever
// then has the role by the key has to do its work. Nobody rented machines and permitted
// starts for as long as that life went on.
func TestStewardByALateTakingDoesItsWork(t *testing.T) {
	story(t, 3, func(w *world) {
		first := w.holder(statekv.LeaderKey)
		for _, h := range w.hosts {
			w.port(h).SetFaults(0, 1)
			w.port(h).SetTxnDelay(3*time.Second, false)
		}
		w.crash(first)
		w.until("another has the role", 20*time.Second, func() bool {
			h := w.holder(statekv.LeaderKey)
			return h != first && h != ""
		})
		for _, h := range w.hosts {
			w.port(h).SetFaults(0, 0)
		}
		w.start(first)
		time.Sleep(15 * time.Second)
		s := array(w.id(), 4) // more than one machine
		s.Team = "full"       // which needs a permit
		if !w.submit("", s, 10*time.Second) {
			w.t.Fatal("not accepted")
		}
		time.Sleep(2 * time.Minute)
		w.history.CheckFinalState()
		w.check()
	})
}

// The transaction of a submission, or of a cancellation, gets no answer and is carried out
// late: its user is answered within a second all the same, and once.
func TestLateSubmissionAndCancellationAreAnsweredSoon(t *testing.T) {
	story(t, 4, func(w *world) {
		s := array(w.id(), 1)
		w.history.RecordSubmission(s)
		w.fleet.SetRunTimes(s.ID, time.Hour, 0)
		time.Sleep(15 * time.Second) // nothing else is written
		for _, step := range []struct{ verb, method, path, status string }{
			{"submit", "POST", "/submissions", job.Queued},
			{"cancel", "POST", "/submissions/" + s.ID + "/abort", job.Cancelled},
		} {
			w.port("host-1").SetTxnDelay(4*time.Second, false)
			w.port("host-1").DelayNextTxns(2)
			if step.verb == "cancel" {
				w.history.RecordCancelRequest(s.ID)
			}
			asked, sent := w.history.StampRequest(), time.Now()
			code, status := w.call("host-1", step.method, step.path, wireSpec(s), 5*time.Second)
			took := time.Since(sent)
			w.history.RecordResponse(step.verb, s.ID, asked, code, status)
			if code/100 != 2 || status != step.status || took > time.Second {
				w.t.Errorf("%s: %d %s after %v", step.verb, code, status, took)
			}
			time.Sleep(20 * time.Second)
		}
		w.check()
	})
}
