// Package candidate makes the placement decisions that need only the sampled candidates: the
// machines on which the tasks of a job are tried, and the machines that are freed for them. Its
// functions are pure, except that Rank sorts in place and PickHosts calls the given Shuffle. The
// package owns no state and imports only the messages of the samples and the job descriptions.
package candidate

import (
	"cmp"
	"slices"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

// Shuffle permutes n elements by calls of swap, as rand.Shuffle of math/rand/v2 does.
type Shuffle func(n int, swap func(i, j int))

// PickHosts draws a random share of the controllers, rounded up, and at least one (C_p in the Vela
// paper).
func PickHosts(hosts []string, share float64, shuffle Shuffle) []string {
	picked := slices.Clone(hosts)
	shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	exact := share * float64(len(picked))
	count := int(exact)
	if float64(count) < exact {
		count++
	}
	return picked[:min(len(picked), max(1, count))]
}

// Rank sorts candidates by score, highest first.
func Rank(candidates []agentapi.Candidate) {
	slices.SortStableFunc(candidates, func(a, b agentapi.Candidate) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Machine, b.Machine))
	})
}

// Assign gives each task its own list of at most listLength candidates, best first. The first
// candidates of all lists together have capacity for all tasks, according to the samples; the
// others are fallbacks for MultiBind. If not all tasks fit, there are fewer lists than tasks.
func Assign(candidates []agentapi.Candidate, tasks, listLength int) [][]agentapi.Candidate {
	remaining := make([]int, len(candidates))
	for i, c := range candidates {
		remaining[i] = c.Fits
	}
	var lists [][]agentapi.Candidate
	first := 0
	for len(lists) < tasks {
		for first < len(candidates) && remaining[first] == 0 {
			first++
		}
		if first == len(candidates) {
			break
		}
		remaining[first]--
		lists = append(lists, rotatedList(candidates, first, listLength))
	}
	return lists
}

// rotatedList lists at most length candidates in rotation, beginning with index first.
func rotatedList(candidates []agentapi.Candidate, first, length int) []agentapi.Candidate {
	list := []agentapi.Candidate{candidates[first]}
	for offset := 1; offset < len(candidates) && len(list) < length; offset++ {
		list = append(list, candidates[(first+offset)%len(candidates)])
	}
	return list
}

// FilterByImage keeps the candidates that have the image. For shapes other than gangs it also keeps
// those on which another task is fetching the image.
func FilterByImage(candidates []agentapi.Candidate, shape string) []agentapi.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c agentapi.Candidate) bool {
		return c.Image == 0 || c.Image < 1 && shape == job.Gang
	})
}

// AddMachinesWithCapacity adds to the machines chosen to be freed those machines of withCapacity
// that are needed for the remaining tasks. If oneZone is set, it adds only machines in the zone of
// the first machine.
func AddMachinesWithCapacity(oneZone bool, chosen, withCapacity []agentapi.Candidate, tasks int) []agentapi.Candidate {
	machines := slices.Clone(chosen)
	zone := ""
	if oneZone {
		zone = firstZone(chosen, withCapacity)
	}
	remaining := tasks - len(chosen)
	for _, c := range withCapacity {
		if remaining <= 0 {
			break
		}
		if inZone(c, zone) {
			machines = append(machines, c)
			remaining -= c.Fits
		}
	}
	return machines
}

// ChooseMachinesToFree chooses the machines to free so that the given number of tasks fits,
// together with the free capacity of withCapacity. If oneZone is set, all are in the zone with the
// lowest total cost. It returns nil if the tasks would not fit.
func ChooseMachinesToFree(oneZone bool, withCapacity, options []agentapi.Candidate, tasks int) []agentapi.Candidate {
	zones := map[string]bool{"": true}
	if oneZone {
		zones = zonesOf(options)
	}
	var best []agentapi.Candidate
	bestCost := 0.0
	for zone := range zones {
		chosen, cost := chooseToFreeInZone(zone, withCapacity, options, tasks)
		if len(chosen) > 0 && (best == nil || cost < bestCost) {
			best, bestCost = chosen, cost
		}
	}
	return best
}

// chooseToFreeInZone chooses the machines to free in one zone, or in any zone for "", and returns
// their total cost. It returns nil if the tasks would not fit.
func chooseToFreeInZone(
	zone string, withCapacity, options []agentapi.Candidate, tasks int,
) (chosen []agentapi.Candidate, cost float64) {
	hasCapacity := map[string]bool{}
	needed := tasks
	for _, c := range withCapacity {
		if inZone(c, zone) {
			needed -= c.Fits
			hasCapacity[c.Machine] = true
		}
	}
	for _, c := range options {
		if len(chosen) < needed && inZone(c, zone) && !hasCapacity[c.Machine] {
			chosen = append(chosen, c)
			cost -= c.Score
		}
	}
	if len(chosen) != needed {
		return nil, 0
	}
	return chosen, cost
}
