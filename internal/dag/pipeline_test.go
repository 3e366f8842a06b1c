package dag

import (
	"fmt"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/tombstone"
)

// records is a snapshot by hand.
type records struct {
	open  map[string]*Node
	final map[string]tombstone.Tombstone
}

func (r *records) OpenJob(id string) (*Node, bool) {
	n, ok := r.open[id]
	return n, ok
}

func (r *records) Tombstone(id string) (tombstone.Tombstone, bool) {
	f, ok := r.final[id]
	return f, ok
}

func (r *records) add(id string, needs ...string) *Node {
	r.open[id] = &Node{ID: id, Dependencies: needs}
	return r.open[id]
}

func (r *records) end(id, status string, at int64) {
	delete(r.open, id)
	r.final[id] = tombstone.Tombstone{Status: status, Tasks: 1, CompletedAtMS: at}
}

func none() *records { return &records{map[string]*Node{}, map[string]tombstone.Tombstone{}} }

// What a waiting job is follows from the records alone.
func TestVerdicts(t *testing.T) {
	s := none()
	s.add("a")
	s.add("b", "a")
	c := s.add("c", "b", "x")
	s.end("x", job.Done, 7000)
	is := func(when string, state State) Result {
		t.Helper()
		v := Evaluate(s, c)
		if v.State != state {
			t.Fatalf("%s: %+v", when, v)
		}
		return v
	}
	if v := is("one is open", Waiting); len(v.WaitingOn) != 1 || v.WaitingOn[0] != "b" {
		t.Error(v)
	}
	s.end("a", job.Done, 8000)
	is("only the first is done", Waiting)
	s.end("b", job.Done, 9000)
	if v := is("all are done", Ready); v.ReadySince.UnixMilli() != 9000 {
		t.Error(v.ReadySince)
	}
	s.end("x", job.Done, 0)
	if v := is("when one was done is not known", Ready); !v.ReadySince.IsZero() {
		t.Error(v.ReadySince)
	}
	delete(s.final, "x")
	if v := is("a record was not read", Unresolved); len(v.MissingTombstones) != 1 || v.MissingTombstones[0] != "x" {
		t.Error(v)
	}
	s.end("x", job.Cancelled, 0)
	if v := is("one was cancelled", Cancelled); v.CancelledBy != "x" {
		t.Error(v)
	}
	// Through others: what is between is open still, and nothing need be written.
	s = none()
	s.add("b", "a")
	s.add("m", "b", "y") // y's record is not read: that does not matter any more
	c = s.add("c", "m")
	s.end("a", job.Cancelled, 0)
	if v := is("one far before it was cancelled", Cancelled); v.CancelledBy != "a" {
		t.Error(v)
	}
	// And where it is not known whether, that has to be read before anybody is told.
	s.end("a", job.Done, 1)
	if v := is("one far before it was not read", Waiting); len(v.MissingTombstones) != 1 || v.MissingTombstones[0] != "y" {
		t.Error(v)
	}
}

// Chains as long as users make them, one job that a thousand need, one that needs a
// thousand, and a circle that only damage can make.
func TestLongAndWide(t *testing.T) {
	const many = 1000
	s := none()
	id := func(k int) string { return fmt.Sprintf("wk-%d", k) }
	s.add(id(0))
	for k := 1; k < many; k++ {
		s.add(id(k), id(k-1))
	}
	last := s.open[id(many-1)]
	if v := Evaluate(s, last); v.State != Waiting {
		t.Fatal(v)
	}
	s.end(id(0), job.Cancelled, 0)
	for k := 1; k < many; k++ {
		if v := Evaluate(s, s.open[id(k)]); v.State != Cancelled {
			t.Fatal(k, v)
		}
	}
	s = none()
	var needs []string
	for k := range many {
		s.end(id(k), job.Done, int64(k+1))
		needs = append(needs, id(k))
	}
	wide := s.add("wide", needs...)
	if v := Evaluate(s, wide); v.State != Ready || v.ReadySince.UnixMilli() != many {
		t.Fatal(v.State, v.ReadySince)
	}
	s = none()
	s.add("p", "q")
	q := s.add("q", "p")
	if v := Evaluate(s, q); v.State != Waiting {
		t.Fatal(v)
	}
	if u := PropagateUrgency(s, s.open); len(u) != 0 {
		t.Fatal(u)
	}
}

// The rank and the due time stand on the last job only; those before it are treated as
// due by what is still to come on the longest way, until it is cancelled.
func TestUrgency(t *testing.T) {
	s := none()
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
		t.Error("nobody needs the last one")
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
	// What is withdrawn hands nothing on, directly or through others.
	s.end("b", job.Cancelled, 0)
	u = PropagateUrgency(s, s.open)
	if got := u["a"]; got.Rank != "normal" || !got.Deadline.Equal(now.Add(-10*time.Second)) {
		t.Errorf("%+v", got)
	}
}
