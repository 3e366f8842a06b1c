package dag

import (
	"fmt"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/tombstone"
)

// testSnapshot is a Snapshot that tests fill in directly.
type testSnapshot struct {
	open       map[string]*Node
	tombstones map[string]tombstone.Tombstone
}

func (s *testSnapshot) OpenJob(id string) (*Node, bool) {
	n, ok := s.open[id]
	return n, ok
}

func (s *testSnapshot) Tombstone(id string) (tombstone.Tombstone, bool) {
	t, ok := s.tombstones[id]
	return t, ok
}

func (s *testSnapshot) add(id string, dependencies ...string) *Node {
	s.open[id] = &Node{ID: id, Dependencies: dependencies}
	return s.open[id]
}

func (s *testSnapshot) finish(id, status string, completedAtMS int64) {
	delete(s.open, id)
	s.tombstones[id] = tombstone.Tombstone{Status: status, Tasks: 1, CompletedAtMS: completedAtMS}
}

func newTestSnapshot() *testSnapshot {
	return &testSnapshot{map[string]*Node{}, map[string]tombstone.Tombstone{}}
}

// The state of a dependent job follows from records and tombstones alone.
func TestEvaluate(t *testing.T) {
	s := newTestSnapshot()
	s.add("a")
	s.add("b", "a")
	c := s.add("c", "b", "x")
	s.finish("x", job.Done, 7000)
	requireState := func(description string, state State) Result {
		t.Helper()
		result := Evaluate(s, c)
		if result.State != state {
			t.Fatalf("%s: got %+v, want state %d", description, result, state)
		}
		return result
	}
	if result := requireState("a dependency is open", Waiting); len(result.WaitingOn) != 1 || result.WaitingOn[0] != "b" {
		t.Errorf("got %+v, want a job that waits on b", result)
	}
	s.finish("a", job.Done, 8000)
	requireState("only a transitive dependency is done", Waiting)
	s.finish("b", job.Done, 9000)
	if result := requireState("all dependencies are done", Ready); result.ReadySince.UnixMilli() != 9000 {
		t.Errorf("got ready since %v, want the time at which the last dependency was done", result.ReadySince)
	}
	s.finish("x", job.Done, 0)
	if result := requireState("a completion time is unknown", Ready); !result.ReadySince.IsZero() {
		t.Errorf("got ready since %v, want the zero time", result.ReadySince)
	}
	delete(s.tombstones, "x")
	if result := requireState("a tombstone has not been read", Unresolved); len(result.MissingTombstones) != 1 || result.MissingTombstones[0] != "x" {
		t.Errorf("got %+v, want the missing tombstone of x", result)
	}
	s.finish("x", job.Cancelled, 0)
	if result := requireState("a dependency was cancelled", Cancelled); result.CancelledBy != "x" {
		t.Errorf("got %+v, want cancelled by x", result)
	}
	// A cancellation passes through jobs that are still open, before anything is written for them.
	s = newTestSnapshot()
	s.add("b", "a")
	s.add("m", "b", "y") // y's tombstone has not been read, which does not matter here
	c = s.add("c", "m")
	s.finish("a", job.Cancelled, 0)
	if result := requireState("a transitive dependency was cancelled", Cancelled); result.CancelledBy != "a" {
		t.Errorf("got %+v, want cancelled by a", result)
	}
	// Whether a job is cancelled is unknown until the missing tombstone has been read.
	s.finish("a", job.Done, 1)
	if result := requireState("a transitive dependency has not been read", Waiting); len(result.MissingTombstones) != 1 || result.MissingTombstones[0] != "y" {
		t.Errorf("got %+v, want the missing tombstone of y", result)
	}
}

// Covers a chain of a thousand jobs, a job with a thousand dependencies, and a cycle, which only
// damaged records can form.
func TestEvaluateLongChainsAndManyDependencies(t *testing.T) {
	const jobs = 1000
	s := newTestSnapshot()
	id := func(k int) string { return fmt.Sprintf("wk-%d", k) }
	s.add(id(0))
	for k := 1; k < jobs; k++ {
		s.add(id(k), id(k-1))
	}
	last := s.open[id(jobs-1)]
	if result := Evaluate(s, last); result.State != Waiting {
		t.Fatalf("last job of the chain: got %+v, want state Waiting", result)
	}
	s.finish(id(0), job.Cancelled, 0)
	for k := 1; k < jobs; k++ {
		if result := Evaluate(s, s.open[id(k)]); result.State != Cancelled {
			t.Fatalf("job %d of a cancelled chain: got %+v, want state Cancelled", k, result)
		}
	}
	s = newTestSnapshot()
	var dependencies []string
	for k := range jobs {
		s.finish(id(k), job.Done, int64(k+1))
		dependencies = append(dependencies, id(k))
	}
	wide := s.add("wide", dependencies...)
	if result := Evaluate(s, wide); result.State != Ready || result.ReadySince.UnixMilli() != jobs {
		t.Fatalf("job with %d dependencies: got state %d since %v, want Ready since the last was done",
			jobs, result.State, result.ReadySince)
	}
	s = newTestSnapshot()
	s.add("p", "q")
	q := s.add("q", "p")
	if result := Evaluate(s, q); result.State != Waiting {
		t.Fatalf("cycle: got %+v, want state Waiting", result)
	}
	if urgencies := PropagateUrgency(s, s.open); len(urgencies) != 0 {
		t.Fatalf("cycle: got urgencies %+v, want none", urgencies)
	}
}

// Jobs inherit the rank and the deadline of the last job. The deadline is earlier by the estimated
// durations on the longest path to the last job. Cancelled jobs pass nothing on.
func TestPropagateUrgency(t *testing.T) {
	s := newTestSnapshot()
	now := time.Unix(1000, 0)
	a := s.add("a")
	b := s.add("b", "a")
	c := s.add("c", "a")
	last := s.add("last", "b", "c")
	a.Rank, b.Rank, c.Rank, last.Rank = "best_effort", "normal", "normal", "high"
	b.EstimatedDuration, c.EstimatedDuration, last.EstimatedDuration = 10*time.Second, 30*time.Second, 5*time.Second
	last.Deadline = now.Add(time.Minute)
	urgencies := PropagateUrgency(s, s.open)
	for id, offset := range map[string]time.Duration{"a": 25 * time.Second, "b": 55 * time.Second, "c": 55 * time.Second} {
		if got := urgencies[id]; got.Rank != "high" || !got.Deadline.Equal(now.Add(offset)) {
			t.Errorf("%s: got %+v, want rank high and a deadline %v from now", id, got, offset)
		}
	}
	if _, ok := urgencies["last"]; ok {
		t.Error("got an urgency for a job without dependents, want none")
	}
	// Another dependent has an earlier deadline and a lower rank.
	d := s.add("d", "c")
	d.Rank, d.Deadline = "best_effort", now.Add(20*time.Second)
	urgencies = PropagateUrgency(s, s.open)
	if got := urgencies["c"]; got.Rank != "high" || !got.Deadline.Equal(d.Deadline) {
		t.Errorf("c: got %+v, want rank high and deadline %v", got, d.Deadline)
	}
	if got := urgencies["a"]; !got.Deadline.Equal(now.Add(-10 * time.Second)) {
		t.Errorf("a: got %+v, want a deadline 10s ago", got)
	}
	// A cancelled job and the jobs that depend on it pass nothing on.
	s.finish("b", job.Cancelled, 0)
	urgencies = PropagateUrgency(s, s.open)
	if got := urgencies["a"]; got.Rank != "normal" || !got.Deadline.Equal(now.Add(-10*time.Second)) {
		t.Errorf("a: got %+v, want rank normal and a deadline 10s ago", got)
	}
}
