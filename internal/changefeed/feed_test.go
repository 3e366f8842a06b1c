package changefeed

import (
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// An incomplete answer must confirm nothing beyond what was confirmed before, and nothing at all if
// it belongs to another session of the agent.
func TestIncompleteAnswerConfirmsNothingNew(t *testing.T) {
	f := New(nil, nil, []string{"a"}, nil, nil)
	answer := func(incarnation, minRev uint64, more bool) uint64 {
		req := agentapi.WatchRequest{MinRev: minRev}
		f.apply("a", &req, &agentapi.WatchReply{Instance: incarnation, More: more}, time.Now())
		return f.agents["a"].confirmedRev
	}
	if got := answer(1, 5, false); got != 5 {
		t.Errorf("complete answer: got confirmed revision %d, want 5", got)
	}
	if got := answer(1, 9, true); got != 5 {
		t.Errorf("incomplete answer: got confirmed revision %d, want 5", got)
	}
	if got := answer(2, 9, true); got != 0 {
		t.Errorf("incomplete answer of another session: got confirmed revision %d, want 0", got)
	}
}

// Entries of a former owner, and earlier entries of the same owner, must not replace an entry.
func TestOnlyNewerEntriesAreApplied(t *testing.T) {
	f := New(nil, nil, []string{"a", "b"}, nil, nil)
	applyEntry := func(host string, rev, ver uint64) int {
		e := agentapi.MachineEntry{Machine: "m1", Host: host, Rev: rev, Ver: ver}
		reply := agentapi.WatchReply{Entries: []agentapi.MachineEntry{e}}
		return len(f.apply(host, &agentapi.WatchRequest{}, &reply, time.Now()))
	}
	cases := []struct {
		host     string
		rev, ver uint64
		applied  int
	}{{"a", 1, 7, 1}, {"a", 1, 7, 0}, {"a", 1, 6, 0}, {"a", 1, 8, 1}, {"b", 2, 1, 1}, {"a", 1, 9, 0}}
	for _, c := range cases {
		if got := applyEntry(c.host, c.rev, c.ver); got != c.applied {
			t.Errorf("%+v: got %d entries applied, want %d", c, got, c.applied)
		}
	}
	if host, ok := f.OwnerHost("m1"); host != "b" || !ok {
		t.Errorf("got owner %q (%v), want b", host, ok)
	}
}

// The time is unknown while an agent has not reported a covered revision, or has reported one later
// than the given revision. Otherwise it is when the earliest of the agents' latest watches was
// sent.
func TestAcknowledgedUntilNeedsEveryAgent(t *testing.T) {
	f := New(nil, nil, []string{"a", "b"}, nil, nil)
	first := time.Unix(1000, 0)
	answer := func(host string, covered uint64, asked time.Time) {
		f.apply(host, &agentapi.WatchRequest{}, &agentapi.WatchReply{Seen: covered}, asked)
	}
	answer("a", 4, first)
	if got := f.AcknowledgedUntil(9); !got.IsZero() {
		t.Errorf("b has not answered: got %v, want the zero time", got)
	}
	answer("b", 6, first.Add(time.Second))
	if got := f.AcknowledgedUntil(9); !got.Equal(first) {
		t.Errorf("both have answered: got %v, want %v", got, first)
	}
	if got := f.AcknowledgedUntil(5); !got.IsZero() {
		t.Errorf("b has reported a later revision: got %v, want the zero time", got)
	}
}

// Invariant ran_twice: a machine counts as confirmed by an entry of a former ownership, session or before reconciliation.
func TestOnlyReconciledEntryOfPresentOwnershipConfirms(t *testing.T) {
	state := emulator.NewStateService()
	owner := statekv.Holder{Host: "a", Incarnation: 7}
	rev, err := state.Txn(t.Context(), nil, []statekv.Op{
		{Set: statekv.MachineShardPrefix + "a.1", Value: shard.Record{Holder: owner}},
		{Set: statekv.MachinePrefix + "m1", Value: shard.MachineRecord{Shard: "a.1"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	mirror := statekv.NewMirror(state, []string{statekv.ClusterPrefix}, statekv.RootPrefix, time.Second, 0, nil)
	if err := mirror.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	kv, _ := mirror.Get(statekv.MachinePrefix + "m1")
	for name, c := range map[string]struct {
		incarnation, rev uint64
		reconciled       bool
		want             uint64
	}{
		"reconciled entry of the owner": {7, rev, true, 5},
		"former ownership":              {7, rev - 1, true, 0},
		"former session":                {6, rev, true, 0},
		"not reconciled":                {7, rev, false, 0},
	} {
		f := New(nil, mirror, []string{"a"}, nil, nil)
		entry := agentapi.MachineEntry{Machine: "m1", Host: "a", Rev: c.rev, Ver: 1, Settled: c.reconciled}
		reply := agentapi.WatchReply{Instance: c.incarnation, Entries: []agentapi.MachineEntry{entry}}
		f.apply("a", &agentapi.WatchRequest{MinRev: 5}, &reply, time.Now())
		if got := f.Confirm(kv).Epoch; got != c.want {
			t.Errorf("%s: got epoch %d confirmed, want %d", name, got, c.want)
		}
	}
}
