package dag

import (
	"slices"
	"time"

	"robinstack/internal/job"
)

// Urgency is the rank and the deadline by which a job is scheduled. They are its own or inherited
// from jobs that depend on it.
type Urgency struct {
	Rank     string
	Deadline time.Time // zero: no deadline
}

// mostUrgent returns the higher rank and the earlier deadline of u and other.
func (u Urgency) mostUrgent(other Urgency) Urgency {
	if job.PriorityOfRank(other.Rank) > job.PriorityOfRank(u.Rank) {
		u.Rank = other.Rank
	}
	if !other.Deadline.IsZero() && (u.Deadline.IsZero() || other.Deadline.Before(u.Deadline)) {
		u.Deadline = other.Deadline
	}
	return u
}

// forDependencies returns the urgency that a job of the given estimated duration passes on to its
// dependencies. They must be done early enough for the job to finish by its own deadline.
func (u Urgency) forDependencies(duration time.Duration) Urgency {
	if !u.Deadline.IsZero() {
		u.Deadline = u.Deadline.Add(-duration)
	}
	return u
}

// PropagateUrgency returns the urgency that each job inherits from the jobs that depend on it. Jobs
// with a cancelled dependency pass nothing on. Every dependency is visited once.
func PropagateUrgency(s Snapshot, nodes map[string]*Node) map[string]Urgency {
	sorted := dependentsFirst(nodes)
	cancelled := cancelledNodes(s, sorted)
	urgencies := map[string]Urgency{}
	for _, n := range sorted {
		if cancelled[n.ID] {
			continue
		}
		effective := Urgency{n.Rank, n.Deadline}.mostUrgent(urgencies[n.ID])
		for _, id := range n.Dependencies {
			urgencies[id] = urgencies[id].mostUrgent(effective.forDependencies(n.EstimatedDuration))
		}
	}
	return urgencies
}

// cancelledNodes returns the nodes that depend on a cancelled job, directly or transitively. sorted
// has dependents before their dependencies.
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

// dependentsFirst sorts jobs topologically, each before its dependencies. There are normally no
// cycles, because users can only name jobs that were accepted before. If damaged records form a
// cycle, its jobs and those that they depend on are left out.
func dependentsFirst(nodes map[string]*Node) []*Node {
	dependents := map[string]int{} // number of dependents of each job that are not sorted yet
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
	for k := 0; k < len(sorted); k++ { // sorted grows within the loop
		for _, id := range sorted[k].Dependencies {
			dependents[id]--
			if dependents[id] == 0 && nodes[id] != nil {
				sorted = append(sorted, nodes[id])
			}
		}
	}
	return sorted
}
