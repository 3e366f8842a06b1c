package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

// The decision phase: pure functions over the sampled candidates.

// rank orders candidates by summed score, best first.
func rank(candidates []agentapi.Candidate) {
	slices.SortStableFunc(candidates, func(a, b agentapi.Candidate) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Machine, b.Machine))
	})
}

// plan gives each of n tasks its own list of at most m candidates, best first.
// The first of each list is chosen so that all tasks fit together, as far as
// the samples go; the others are what MultiBind falls back to.
func plan(candidates []agentapi.Candidate, n, m int) [][]agentapi.Candidate {
	left := make([]int, len(candidates))
	for i, c := range candidates {
		left[i] = c.Fits
	}
	var lists [][]agentapi.Candidate
	first := 0
	for len(lists) < n {
		for first < len(candidates) && left[first] == 0 {
			first++
		}
		if first == len(candidates) {
			break
		}
		left[first]--
		list := []agentapi.Candidate{candidates[first]}
		for k := 1; k < len(candidates) && len(list) < m; k++ {
			list = append(list, candidates[(first+k)%len(candidates)])
		}
		lists = append(lists, list)
	}
	return lists
}

// gangZone picks the zone in which a one-zone gang fits best, or "".
func gangZone(candidates []agentapi.Candidate, n int) string {
	fits, scores := map[string]int{}, map[string]float64{}
	for _, c := range candidates {
		if fits[c.Zone] < n {
			scores[c.Zone] += c.Score * float64(min(c.Fits, n-fits[c.Zone]))
		}
		fits[c.Zone] += c.Fits
	}
	best := ""
	for z, f := range fits {
		if f >= n && (best == "" || scores[z] > scores[best] || scores[z] == scores[best] && z < best) {
			best = z
		}
	}
	return best
}

// chooseCleared picks the machines to clear so that, with the room found
// already, a gang of n fits: in the zone where that loses least.
func chooseCleared(oneZone bool, found, options []agentapi.Candidate, n int) []agentapi.Candidate {
	zones := map[string]bool{"": true}
	if oneZone {
		clear(zones)
		for _, c := range options {
			zones[c.Zone] = true
		}
	}
	var best []agentapi.Candidate
	bestCost := 0.0
	for z := range zones {
		have := map[string]bool{}
		left := n
		for _, c := range found {
			if z == "" || c.Zone == z {
				left -= c.Fits
				have[c.Machine] = true
			}
		}
		var chosen []agentapi.Candidate
		cost := 0.0
		for _, c := range options {
			if len(chosen) < left && (z == "" || c.Zone == z) && !have[c.Machine] {
				chosen = append(chosen, c)
				cost -= c.Score
			}
		}
		if len(chosen) == left && left > 0 && (best == nil || cost < bestCost) {
			best, bestCost = chosen, cost
		}
	}
	return best
}

// inZone keeps the candidates of one zone.
func inZone(candidates []agentapi.Candidate, zone string) []agentapi.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c agentapi.Candidate) bool { return c.Zone != zone })
}

// withImage keeps the candidates that have the image; for tasks of arrays also
// those on which another task fetches it.
func withImage(candidates []agentapi.Candidate, shape string) []agentapi.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c agentapi.Candidate) bool {
		return c.Image == 0 || c.Image < 1 && shape == job.Gang
	})
}

// openZones lists the zones in which a further task may be started, given
// where the job's others are; nil means any. Tasks that finished do not count.
func openZones(spec *job.Spec, others map[string]int, zones []string) []string {
	switch {
	case spec.OneZone:
		for z := range others {
			return []string{z}
		}
	case spec.Spread:
		limit := (spec.Tasks + 1) / 2
		open := []string{}
		for _, z := range zones {
			if others[z] < limit {
				open = append(open, z)
			}
		}
		return open
	}
	return nil
}

// pickHosts draws the random share of controllers to ask (the paper's C_p).
func pickHosts(hosts []string, share float64, rnd func(n int, swap func(i, j int))) []string {
	picked := slices.Clone(hosts)
	rnd(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	n := int(share * float64(len(picked)))
	if float64(n) < share*float64(len(picked)) {
		n++
	}
	return picked[:min(len(picked), max(1, n))]
}

var shuffle = rand.Shuffle
