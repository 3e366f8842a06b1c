package dag

import (
	"slices"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/tombstone"
)

// Node is an open job, one that has no tombstone yet, as far as dependencies go.
type Node struct {
	ID                string
	Dependencies      []string // jobs that have to be done before it starts
	Rank              string
	Deadline          time.Time     // when it should be complete; zero: no deadline
	EstimatedDuration time.Duration // about how long it takes once it is ready
}

// Snapshot is what the records and tombstones say at one moment.
type Snapshot interface {
	// OpenJob returns the open job with this id. One without dependencies may have no more
	// than its id.
	OpenJob(id string) (*Node, bool)
	// Tombstone returns the tombstone of a job, if it was read.
	Tombstone(id string) (tombstone.Tombstone, bool)
}

// State is what a dependent job has come to.
type State int

const (
	// Waiting says that dependencies are open.
	Waiting State = iota
	// Ready says that the job may start.
	Ready
	// Cancelled says that a job before it was cancelled.
	Cancelled
	// Unresolved says that a dependency is neither open nor was its tombstone read.
	Unresolved
)

// Result is what a dependent job has come to, and why.
type Result struct {
	State             State
	WaitingOn         []string  // open jobs among its dependencies
	MissingTombstones []string  // jobs, not only its dependencies, whose tombstones have to be read
	DamagedTombstones []string  // those among them that are damaged: they are retried seldom
	CancelledBy       string    // the cancelled job because of which it is cancelled
	ReadySince        time.Time // when its last dependency was done; zero if that is not known
}

// Evaluate returns what a dependent job has come to. It visits each job before it once at
// most.
func Evaluate(s Snapshot, n *Node) Result {
	search := cancellationSearch{snapshot: s, visited: map[string]bool{}}
	result := Result{State: Ready}
	timesKnown := true
	for _, id := range n.Dependencies {
		if t, ok := s.Tombstone(id); ok {
			if t.Status == job.Cancelled {
				return Result{State: Cancelled, CancelledBy: id}
			}
			if t.CompletedAt().After(result.ReadySince) {
				result.ReadySince = t.CompletedAt()
			}
			timesKnown = timesKnown && t.CompletedAtMS != 0
			continue
		}
		dependency, open := s.OpenJob(id)
		if !open {
			result.State = Unresolved
			search.missing = append(search.missing, id)
			continue
		}
		result.WaitingOn = append(result.WaitingOn, id)
		if cancelled := search.cancelledBefore(dependency); cancelled != "" {
			return Result{State: Cancelled, CancelledBy: cancelled}
		}
	}
	result.MissingTombstones = search.missing
	if len(result.WaitingOn) > 0 {
		result.State = Waiting
	}
	if result.State != Ready || !timesKnown {
		result.ReadySince = time.Time{}
	}
	return result
}

// cancellationSearch looks for cancelled jobs among those before others.
type cancellationSearch struct {
	snapshot Snapshot
	visited  map[string]bool
	missing  []string // jobs whose tombstones have to be read
}

// cancelledBefore names a cancelled job before n, directly or through others, or "". It
// goes without recursion: chains are as long as users make them.
func (c *cancellationSearch) cancelledBefore(n *Node) string {
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
			case !slices.Contains(c.missing, id):
				c.missing = append(c.missing, id)
			}
		}
	}
	return ""
}
