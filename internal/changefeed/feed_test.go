package changefeed

import (
	"testing"
	"time"

	"robinstack/internal/agentapi"
)

// An answer that is not complete yet confirms nothing beyond what was confirmed before, and
// nothing at all of another session of the agent.
func TestIncompleteAnswerConfirmsNothingNew(t *testing.T) {
	f := New(nil, nil, []string{"a"}, nil, nil)
	answer := func(incarnation, minRev uint64, more bool) uint64 {
		req := agentapi.WatchRequest{MinRev: minRev}
		f.apply("a", &req, &agentapi.WatchReply{Instance: incarnation, More: more}, time.Now())
		return f.acks["a"].rev
	}
	if got := answer(1, 5, false); got != 5 {
		t.Errorf("complete: confirmed up to %d", got)
	}
	if got := answer(1, 9, true); got != 5 {
		t.Errorf("incomplete: confirmed up to %d", got)
	}
	if got := answer(2, 9, true); got != 0 {
		t.Errorf("incomplete, of another session: confirmed up to %d", got)
	}
}

// Entries of an earlier owner, and earlier ones of the same, replace nothing.
func TestOnlyNewerEntriesAreTaken(t *testing.T) {
	f := New(nil, nil, []string{"a", "b"}, nil, nil)
	take := func(host string, rev, ver uint64) int {
		e := agentapi.MachineEntry{Machine: "m1", Host: host, Rev: rev, Ver: ver}
		reply := agentapi.WatchReply{Entries: []agentapi.MachineEntry{e}}
		return len(f.apply(host, &agentapi.WatchRequest{}, &reply, time.Now()))
	}
	steps := []struct {
		host     string
		rev, ver uint64
		taken    int
	}{{"a", 1, 7, 1}, {"a", 1, 7, 0}, {"a", 1, 6, 0}, {"a", 1, 8, 1}, {"b", 2, 1, 1}, {"a", 1, 9, 0}}
	for _, s := range steps {
		if got := take(s.host, s.rev, s.ver); got != s.taken {
			t.Errorf("%+v: %d taken", s, got)
		}
	}
	if host, ok := f.OwnerHost("m1"); host != "b" || !ok {
		t.Errorf("its owner is %q", host)
	}
}

// Where one agent has not said up to which revision it has acknowledged cancellations, or is
// beyond the one asked for, nothing is known; else the earliest question counts.
func TestAcknowledgedUntilTakesEveryAgent(t *testing.T) {
	f := New(nil, nil, []string{"a", "b"}, nil, nil)
	first := time.Unix(1000, 0)
	answer := func(host string, covered uint64, asked time.Time) {
		f.apply(host, &agentapi.WatchRequest{}, &agentapi.WatchReply{Seen: covered}, asked)
	}
	answer("a", 4, first)
	if got := f.AcknowledgedUntil(9); !got.IsZero() {
		t.Errorf("b has not answered: %v", got)
	}
	answer("b", 6, first.Add(time.Second))
	if got := f.AcknowledgedUntil(9); !got.Equal(first) {
		t.Errorf("both have: %v", got)
	}
	if got := f.AcknowledgedUntil(5); !got.IsZero() {
		t.Errorf("b is beyond it: %v", got)
	}
}
