package dag

import (
	"slices"
	"time"

	"robinstack/internal/job"
)

// Urgency is the rank and the deadline that a job is treated as having.
type Urgency struct {
	Rank     string
	Deadline time.Time // zero: none
}

// max returns the more urgent of both in each respect.
func (u Urgency) max(other Urgency) Urgency {
	if job.PriorityOfRank(other.Rank) > job.PriorityOfRank(u.Rank) {
		u.Rank = other.Rank
	}
	if !other.Deadline.IsZero() && (u.Deadline.IsZero() || other.Deadline.Before(u.Deadline)) {
		u.Deadline = other.Deadline
	}
	return u
}

// before returns the urgency of the dependencies of a job that takes so long: they have to
// be done before it can take its time.
func (u Urgency) before(duration time.Duration) Urgency {
	if !u.Deadline.IsZero() {
		u.Deadline = u.Deadline.Add(-duration)
	}
	return u
}

// PropagateUrgency returns the urgency that jobs have from those that depend on them. A
// cancelled one passes nothing on. Each job is visited once for each that depends on it.
func PropagateUrgency(s Snapshot, nodes map[string]*Node) map[string]Urgency {
	sorted := dependentsFirst(nodes)
	cancelled := cancelledNodes(s, sorted)
	urgencies := map[string]Urgency{}
	for _, n := range sorted {
		if cancelled[n.ID] {
			continue
		}
		own := Urgency{n.Rank, n.Deadline}.max(urgencies[n.ID])
		for _, id := range n.Dependencies {
			urgencies[id] = urgencies[id].max(own.before(n.EstimatedDuration))
		}
	}
	return urgencies
}

// cancelledNodes returns which jobs are after a cancelled one, directly or through others.
func cancelledNodes(s Snapshot, sorted []*Node) map[string]bool {
	cancelled := map[string]bool{}
	for _, n := range slices.Backward(sorted) {
		cancelled[n.ID] = slices.ContainsFunc(n.Dependencies, func(id string) bool {
			t, ok := s.Tombstone(id)
			return cancelled[id] || ok && t.Status == job.Cancelled
		})
	}
	return cancelled
}

// dependentsFirst sorts jobs so that each comes before its dependencies. Users can name
// only jobs that were accepted, so there are no cycles; if damage made one, its jobs are
// left out.
func dependentsFirst(nodes map[string]*Node) []*Node {
	dependents := map[string]int{} // of each job, that are not sorted yet
	for _, n := range nodes {
		for _, id := range n.Dependencies {
			dependents[id]++
		}
	}
	var sorted []*Node
	for id, n := range nodes {
		if dependents[id] == 0 {
			sorted = append(sorted, n)
		}
	}
	for k := 0; k < len(sorted); k++ { // sorted grows
		for _, id := range sorted[k].Dependencies {
			dependents[id]--
			if dependents[id] == 0 && nodes[id] != nil {
				sorted = append(sorted, nodes[id])
			}
		}
	}
	return sorted
}
