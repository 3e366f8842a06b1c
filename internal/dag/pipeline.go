// Package dag decides what becomes of jobs that wait for others.
//
// Nothing is pushed from job to job. What a waiting job is follows from final records
// alone: it is ready when every job that it names has a durable final record that says
// done, and withdrawn when one says withdrawn, or waits itself for such a one. So no
// message, memory or live controller is needed for a cancellation to reach the end of a
// chain, and whoever holds a job's slot, now or after any crash, comes to the same
// answer. A job's placer may believe that it is done: without the record that opens
// nothing.
//
// A job after a cancelled one has never started: it starts only when all that it names
// have become done, and what has a final record never gets another. For the same reason
// a verdict of ready or withdrawn never changes, and may be told to users before
// anything is written of it.
//
// This file is pure; Tracker keeps the snapshot that it goes by up to date.
package dag

import (
	"slices"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/tombstone"
)

// Node is an open job as far as pipelines are concerned.
type Node struct {
	ID                string
	Dependencies      []string // jobs that it waits for
	Rank              string
	Deadline          time.Time     // when it should be complete; zero: no deadline
	EstimatedDuration time.Duration // about how long it takes once it is ready
}

// Snapshot is one look at the records.
type Snapshot interface {
	// OpenJob returns the open job with this id. One that names no others may have no more
	// than its id.
	OpenJob(id string) (*Node, bool)
	// Tombstone returns the final record of a job, if it was read.
	Tombstone(id string) (tombstone.Tombstone, bool)
}

// State is what a waiting job has come to.
type State int

const (
	// Waiting for jobs that are open.
	Waiting State = iota
	// Ready to start.
	Ready
	// Cancelled because a job before it was cancelled.
	Cancelled
	// Unresolved: what it waits for is neither open nor was its final record read.
	Unresolved
)

// Result is what a waiting job is, and why.
type Result struct {
	State             State
	WaitingOn         []string  // open jobs that it names
	MissingTombstones []string  // jobs, not only those that it names, whose final records have to be read
	DamagedTombstones []string  // those among them whose records are damaged: they are tried again seldom
	CancelledBy       string    // the cancelled job that it is withdrawn for
	ReadySince        time.Time // when the last job that it needs was done; zero if that is not known
}

// Evaluate tells what a job that names others has come to. It looks at each job before it
// once at most.
func Evaluate(s Snapshot, n *Node) Result {
	j := judge{s: s, cause: map[string]string{}}
	v, untold := Result{State: Ready}, false
	for _, id := range n.Dependencies {
		if r, ok := s.Tombstone(id); ok {
			if r.Status == job.Cancelled {
				return Result{State: Cancelled, CancelledBy: id}
			}
			if untold = untold || r.CompletedAtMS == 0; r.CompletedAt().After(v.ReadySince) {
				v.ReadySince = r.CompletedAt()
			}
			continue
		}
		p, open := s.OpenJob(id)
		if !open {
			v.State = Unresolved
			j.unread = append(j.unread, id)
			continue
		}
		v.WaitingOn = append(v.WaitingOn, id)
		if cause := j.withdrawn(p); cause != "" {
			return Result{State: Cancelled, CancelledBy: cause}
		}
	}
	if v.MissingTombstones = j.unread; len(v.WaitingOn) > 0 {
		v.State = Waiting
	}
	if v.State != Ready || untold {
		v.ReadySince = time.Time{}
	}
	return v
}

type judge struct {
	s      Snapshot
	cause  map[string]string // of the jobs looked at already
	unread []string
}

// withdrawn names the cancelled job before n, directly or through others, or "". It
// goes without recursion: chains are as long as users make them.
func (j *judge) withdrawn(n *Node) string {
	stack := []*Node{n}
	for len(stack) > 0 {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if _, seen := j.cause[n.ID]; seen {
			continue
		}
		j.cause[n.ID] = ""
		for _, id := range n.Dependencies {
			if r, ok := j.s.Tombstone(id); ok {
				if r.Status == job.Cancelled {
					return id
				}
				continue
			}
			if p, open := j.s.OpenJob(id); open {
				stack = append(stack, p)
			} else if !slices.Contains(j.unread, id) {
				j.unread = append(j.unread, id)
			}
		}
	}
	return ""
}

// Urgency is the rank and the due time that a job is treated as having.
type Urgency struct {
	Rank     string
	Deadline time.Time // zero: none
}

// more returns the more urgent of both in each respect.
func (u Urgency) more(o Urgency) Urgency {
	if job.PriorityOfRank(o.Rank) > job.PriorityOfRank(u.Rank) {
		u.Rank = o.Rank
	}
	if !o.Deadline.IsZero() && (u.Deadline.IsZero() || o.Deadline.Before(u.Deadline)) {
		u.Deadline = o.Deadline
	}
	return u
}

// handed is what a job passes to those that it needs: they have to be done before it can
// take its time.
func (u Urgency) handed(takes time.Duration) Urgency {
	if !u.Deadline.IsZero() {
		u.Deadline = u.Deadline.Add(-takes)
	}
	return u
}

// PropagateUrgency works out the urgency that open jobs have from those that need them. One that
// is withdrawn passes nothing on. Each job is looked at once for each that names it.
func PropagateUrgency(s Snapshot, nodes map[string]*Node) map[string]Urgency {
	sorted := order(nodes)
	dead := map[string]bool{}
	for _, n := range slices.Backward(sorted) {
		dead[n.ID] = slices.ContainsFunc(n.Dependencies, func(id string) bool {
			r, ok := s.Tombstone(id)
			return dead[id] || ok && r.Status == job.Cancelled
		})
	}
	out := map[string]Urgency{}
	for _, n := range sorted {
		if dead[n.ID] {
			continue
		}
		own := Urgency{n.Rank, n.Deadline}.more(out[n.ID])
		for _, id := range n.Dependencies {
			out[id] = out[id].more(own.handed(n.EstimatedDuration))
		}
	}
	return out
}

// order sorts jobs so that each comes before those that it needs. Users can name only
// jobs that were accepted, so there are no circles; if damage made one, its jobs are
// left out.
func order(nodes map[string]*Node) []*Node {
	needed := map[string]int{} // by how many that have not been put out yet
	for _, n := range nodes {
		for _, id := range n.Dependencies {
			needed[id]++
		}
	}
	var out []*Node
	for id, n := range nodes {
		if needed[id] == 0 {
			out = append(out, n)
		}
	}
	for k := 0; k < len(out); k++ {
		for _, id := range out[k].Dependencies {
			if needed[id]--; needed[id] == 0 && nodes[id] != nil {
				out = append(out, nodes[id])
			}
		}
	}
	return out
}
