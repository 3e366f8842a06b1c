// Package candidate decides over sampled candidates: which machines the tasks of a job are
// tried on, and on which capacity is made for them. All its functions are pure. It owns no
// state, and imports the messages of the samples and the jobs alone.
package candidate

import (
	"cmp"
	"slices"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

// Shuffle permutes n elements by swapping them, as math/rand/v2 does.
type Shuffle func(n int, swap func(i, j int))

// PickHosts draws the random share of the controllers to ask (the paper's C_p), one at
// least.
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

// Rank orders candidates by summed score, best first.
func Rank(candidates []agentapi.Candidate) {
	slices.SortStableFunc(candidates, func(a, b agentapi.Candidate) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Machine, b.Machine))
	})
}

// Assign gives each of so many tasks its own list of at most listLength candidates, best
// first. The first of each list is chosen so that all tasks fit together, as far as the
// samples go; the others are what MultiBind falls back to. Where not all tasks fit, there
// are fewer lists.
func Assign(candidates []agentapi.Candidate, tasks, listLength int) [][]agentapi.Candidate {
	left := make([]int, len(candidates))
	for i, c := range candidates {
		left[i] = c.Fits
	}
	var lists [][]agentapi.Candidate
	first := 0
	for len(lists) < tasks {
		for first < len(candidates) && left[first] == 0 {
			first++
		}
		if first == len(candidates) {
			break
		}
		left[first]--
		lists = append(lists, listFrom(candidates, first, listLength))
	}
	return lists
}

// listFrom lists candidates from the first on, and then those before it.
func listFrom(candidates []agentapi.Candidate, first, length int) []agentapi.Candidate {
	list := []agentapi.Candidate{candidates[first]}
	for k := 1; k < len(candidates) && len(list) < length; k++ {
		list = append(list, candidates[(first+k)%len(candidates)])
	}
	return list
}

// WithImage keeps the candidates that have the image; for tasks of other shapes than gangs
// also those on which another task fetches it.
func WithImage(candidates []agentapi.Candidate, shape string) []agentapi.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c agentapi.Candidate) bool {
		return c.Image == 0 || c.Image < 1 && shape == job.Gang
	})
}

// AddFound adds to the machines that are chosen to be freed for a job of so many tasks
// those of the found ones that have capacity for the rest; for a job of one zone those in
// the zone of the first.
func AddFound(oneZone bool, chosen, found []agentapi.Candidate, tasks int) []agentapi.Candidate {
	all := slices.Clone(chosen)
	zone := ""
	if oneZone {
		zone = firstZone(chosen, found)
	}
	left := tasks - len(chosen)
	for _, c := range found {
		if left <= 0 {
			break
		}
		if inZone(c, zone) {
			all = append(all, c)
			left -= c.Fits
		}
	}
	return all
}

// ChooseFreed picks the machines to free so that, with the capacity found already, so many
// tasks fit: of a job of one zone in the zone where that loses least. It returns nil where
// they would not fit.
func ChooseFreed(oneZone bool, found, options []agentapi.Candidate, tasks int) []agentapi.Candidate {
	zones := map[string]bool{"": true}
	if oneZone {
		zones = zonesOf(options)
	}
	var best []agentapi.Candidate
	bestCost := 0.0
	for zone := range zones {
		chosen, cost := chooseFreedIn(zone, found, options, tasks)
		if len(chosen) > 0 && (best == nil || cost < bestCost) {
			best, bestCost = chosen, cost
		}
	}
	return best
}

// chooseFreedIn does so in one zone, or in any for "", and returns what that loses.
func chooseFreedIn(
	zone string, found, options []agentapi.Candidate, tasks int,
) (chosen []agentapi.Candidate, cost float64) {
	has := map[string]bool{}
	left := tasks
	for _, c := range found {
		if inZone(c, zone) {
			left -= c.Fits
			has[c.Machine] = true
		}
	}
	for _, c := range options {
		if len(chosen) < left && inZone(c, zone) && !has[c.Machine] {
			chosen = append(chosen, c)
			cost -= c.Score
		}
	}
	if len(chosen) != left {
		return nil, 0
	}
	return chosen, cost
}
