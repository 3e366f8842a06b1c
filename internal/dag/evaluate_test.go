package dag

import (
	"fmt"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/tombstone"
)

// testSnapshot is a snapshot by hand.
type testSnapshot struct {
	open       map[string]*Node
	tombstones map[string]tombstone.Tombstone
}

func (r *testSnapshot) OpenJob(id string) (*Node, bool) {
	n, ok := r.open[id]
	return n, ok
}

func (r *testSnapshot) Tombstone(id string) (tombstone.Tombstone, bool) {
	f, ok := r.tombstones[id]
	return f, ok
}

func (r *testSnapshot) add(id string, dependencies ...string) *Node {
	r.open[id] = &Node{ID: id, Dependencies: dependencies}
	return r.open[id]
}

func (r *testSnapshot) finish(id, status string, at int64) {
	delete(r.open, id)
	r.tombstones[id] = tombstone.Tombstone{Status: status, Tasks: 1, CompletedAtMS: at}
}

func emptySnapshot() *testSnapshot {
	return &testSnapshot{map[string]*Node{}, map[string]tombstone.Tombstone{}}
}

// What a dependent job has come to follows from records and tombstones alone.
func TestEvaluate(t *testing.T) {
	s := emptySnapshot()
	s.add("a")
	s.add("b", "a")
	c := s.add("c", "b", "x")
	s.finish("x", job.Done, 7000)
	requireState := func(when string, state State) Result {
		t.Helper()
		result := Evaluate(s, c)
		if result.State != state {
			t.Fatalf("%s: %+v", when, result)
		}
		return result
	}
	if result := requireState("one is open", Waiting); len(result.WaitingOn) != 1 || result.WaitingOn[0] != "b" {
		t.Error(result)
	}
	s.finish("a", job.Done, 8000)
	requireState("only the first is done", Waiting)
	s.finish("b", job.Done, 9000)
	if result := requireState("all are done", Ready); result.ReadySince.UnixMilli() != 9000 {
		t.Error(result.ReadySince)
	}
	s.finish("x", job.Done, 0)
	if result := requireState("when one was done is not known", Ready); !result.ReadySince.IsZero() {
		t.Error(result.ReadySince)
	}
	delete(s.tombstones, "x")
	if result := requireState("a tombstone was not read", Unresolved); len(result.MissingTombstones) != 1 || result.MissingTombstones[0] != "x" {
		t.Error(result)
	}
	s.finish("x", job.Cancelled, 0)
	if result := requireState("one was cancelled", Cancelled); result.CancelledBy != "x" {
		t.Error(result)
	}
	// Through others: what is between is open still, and nothing need be written.
	s = emptySnapshot()
	s.add("b", "a")
	s.add("m", "b", "y") // y's tombstone is not read: that does not matter any more
	c = s.add("c", "m")
	s.finish("a", job.Cancelled, 0)
	if result := requireState("one far before it was cancelled", Cancelled); result.CancelledBy != "a" {
		t.Error(result)
	}
	// And where it is not known whether, that has to be read before any user is answered.
	s.finish("a", job.Done, 1)
	if result := requireState("one far before it was not read", Waiting); len(result.MissingTombstones) != 1 || result.MissingTombstones[0] != "y" {
		t.Error(result)
	}
}

// Chains as long as users make them, one job with a thousand dependencies, and a cycle that
// only damage can make.
func TestEvaluateLongChainsAndManyDependencies(t *testing.T) {
	const many = 1000
	s := emptySnapshot()
	id := func(k int) string { return fmt.Sprintf("wk-%d", k) }
	s.add(id(0))
	for k := 1; k < many; k++ {
		s.add(id(k), id(k-1))
	}
	last := s.open[id(many-1)]
	if result := Evaluate(s, last); result.State != Waiting {
		t.Fatal(result)
	}
	s.finish(id(0), job.Cancelled, 0)
	for k := 1; k < many; k++ {
		if result := Evaluate(s, s.open[id(k)]); result.State != Cancelled {
			t.Fatal(k, result)
		}
	}
	s = emptySnapshot()
	var needs []string
	for k := range many {
		s.finish(id(k), job.Done, int64(k+1))
		needs = append(needs, id(k))
	}
	wide := s.add("wide", needs...)
	if result := Evaluate(s, wide); result.State != Ready || result.ReadySince.UnixMilli() != many {
		t.Fatal(result.State, result.ReadySince)
	}
	s = emptySnapshot()
	s.add("p", "q")
	q := s.add("q", "p")
	if result := Evaluate(s, q); result.State != Waiting {
		t.Fatal(result)
	}
	if u := PropagateUrgency(s, s.open); len(u) != 0 {
		t.Fatal(u)
	}
}

// Only the last job has a rank and a deadline; those before it are treated as due by what
// is still to come on the longest path, until it is cancelled.
func TestPropagateUrgency(t *testing.T) {
	s := emptySnapshot()
	now := time.Unix(1000, 0)
	a := s.add("a")
	b := s.add("b", "a")
	c := s.add("c", "a")
	last := s.add("last", "b", "c")
	a.Rank, b.Rank, c.Rank, last.Rank = "best_effort", "normal", "normal", "high"
	b.EstimatedDuration, c.EstimatedDuration, last.EstimatedDuration = 10*time.Second, 30*time.Second, 5*time.Second
	last.Deadline = now.Add(time.Minute)
	u := PropagateUrgency(s, s.open)
	for id, due := range map[string]time.Duration{"a": 25 * time.Second, "b": 55 * time.Second, "c": 55 * time.Second} {
		if got := u[id]; got.Rank != "high" || !got.Deadline.Equal(now.Add(due)) {
			t.Errorf("%s: %+v, not %v", id, got, due)
		}
	}
	if _, ok := u["last"]; ok {
		t.Error("nothing depends on the last one")
	}
	// One that is due earlier, and has a lower rank.
	d := s.add("d", "c")
	d.Rank, d.Deadline = "best_effort", now.Add(20*time.Second)
	u = PropagateUrgency(s, s.open)
	if got := u["c"]; got.Rank != "high" || !got.Deadline.Equal(d.Deadline) {
		t.Errorf("%+v", got)
	}
	if got := u["a"]; !got.Deadline.Equal(now.Add(-10 * time.Second)) {
		t.Errorf("%+v", got)
	}
	// What is cancelled passes nothing on, directly or through others.
	s.finish("b", job.Cancelled, 0)
	u = PropagateUrgency(s, s.open)
	if got := u["a"]; got.Rank != "normal" || !got.Deadline.Equal(now.Add(-10*time.Second)) {
		t.Errorf("%+v", got)
	}
}
