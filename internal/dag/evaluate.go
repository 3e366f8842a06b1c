package dag

import (
	"slices"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/tombstone"
)

// Node is an open job, which is a job without a tombstone, in the dependency graph.
type Node struct {
	ID                string
	Dependencies      []string // jobs that must be done before this one starts
	Rank              string
	Deadline          time.Time     // zero: no deadline
	EstimatedDuration time.Duration // from when the job is ready until it is done
}

// Snapshot gives access to the job records and tombstones of one moment.
type Snapshot interface {
	// OpenJob returns the open job with this id. If the job has no dependencies, only its ID needs
	// to be set.
	OpenJob(id string) (*Node, bool)
	// Tombstone returns the tombstone of a job, if it has been read.
	Tombstone(id string) (tombstone.Tombstone, bool)
}

// State is the state of a dependent job.
type State int

const (
	// Waiting means that at least one dependency is open.
	Waiting State = iota
	// Ready means that all dependencies are done, so that the job may start.
	Ready
	// Cancelled means that a direct or transitive dependency was cancelled.
	Cancelled
	// Unresolved means that no dependency is open, but the tombstone of at least one has not been
	// read.
	Unresolved
)

// Result is the state of a dependent job and the reason for it.
type Result struct {
	State             State
	WaitingOn         []string  // open direct dependencies
	MissingTombstones []string  // direct and transitive dependencies whose tombstones must be read
	DamagedTombstones []string  // set only by Tracker.Evaluate, which moves them from MissingTombstones
	CancelledBy       string    // the cancelled dependency; set if State is Cancelled
	ReadySince        time.Time // when the last dependency was done; zero if unknown
}

// Evaluate returns the state of a dependent job. It visits each open job that n depends on at most
// once.
func Evaluate(s Snapshot, n *Node) Result {
	search := cancellationSearch{snapshot: s, visited: map[string]bool{}}
	result := Result{State: Ready}
	completionTimesKnown := true
	for _, id := range n.Dependencies {
		if t, ok := s.Tombstone(id); ok {
			if t.Status == job.Cancelled {
				return Result{State: Cancelled, CancelledBy: id}
			}
			if t.CompletedAt().After(result.ReadySince) {
				result.ReadySince = t.CompletedAt()
			}
			completionTimesKnown = completionTimesKnown && t.CompletedAtMS != 0
			continue
		}
		dependency, open := s.OpenJob(id)
		if !open {
			result.State = Unresolved
			search.missingTombstones = append(search.missingTombstones, id)
			continue
		}
		result.WaitingOn = append(result.WaitingOn, id)
		if cancelled := search.findCancelled(dependency); cancelled != "" {
			return Result{State: Cancelled, CancelledBy: cancelled}
		}
	}
	result.MissingTombstones = search.missingTombstones
	if len(result.WaitingOn) > 0 {
		result.State = Waiting
	}
	if result.State != Ready || !completionTimesKnown {
		result.ReadySince = time.Time{}
	}
	return result
}

// cancellationSearch searches the dependencies of open jobs for cancelled jobs.
type cancellationSearch struct {
	snapshot          Snapshot
	visited           map[string]bool
	missingTombstones []string // jobs whose tombstones must be read
}

// findCancelled returns a cancelled job that n depends on, directly or transitively, or "" if there
// is none. It is not recursive, because users may create chains of any length.
func (c *cancellationSearch) findCancelled(n *Node) string {
	stack := []*Node{n}
	for len(stack) > 0 {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if c.visited[n.ID] {
			continue
		}
		c.visited[n.ID] = true
		for _, id := range n.Dependencies {
			if t, ok := c.snapshot.Tombstone(id); ok {
				if t.Status == job.Cancelled {
					return id
				}
				continue
			}
			dependency, open := c.snapshot.OpenJob(id)
			switch {
			case open:
				stack = append(stack, dependency)
			case !slices.Contains(c.missingTombstones, id):
				c.missingTombstones = append(c.missingTombstones, id)
			}
		}
	}
	return ""
}
