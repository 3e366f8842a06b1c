package candidate

import (
	"maps"
	"slices"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

// SpreadLimit is how many tasks of a job that is spread over zones one zone may have.
func SpreadLimit(spec *job.Spec) int { return (spec.Tasks + 1) / 2 }

// OpenZones lists the zones in which a further task may be started, given how many of the
// job's others are in each; nil means any. Tasks that finished do not count.
func OpenZones(spec *job.Spec, others map[string]int, zones []string) []string {
	switch {
	case spec.OneZone:
		for zone := range others {
			return []string{zone}
		}
	case spec.Spread:
		open := []string{}
		for _, zone := range zones {
			if others[zone] < SpreadLimit(spec) {
				open = append(open, zone)
			}
		}
		return open
	}
	return nil
}

// SpreadOut keeps every task to the zone of its first candidate, and leaves out those that
// would have a zone hold more than the limit, given how many of the job's others are in
// each.
func SpreadOut(lists [][]agentapi.Candidate, others map[string]int, limit int) [][]agentapi.Candidate {
	counts := map[string]int{}
	maps.Copy(counts, others)
	var kept [][]agentapi.Candidate
	for _, list := range lists {
		zone := list[0].Zone
		if counts[zone] >= limit {
			continue
		}
		counts[zone]++
		kept = append(kept, InZone(list, zone))
	}
	return kept
}

// GangZone picks the zone in which a gang of one zone fits best, or "".
func GangZone(candidates []agentapi.Candidate, tasks int) string {
	fits, scores := map[string]int{}, map[string]float64{}
	for _, c := range candidates {
		if fits[c.Zone] < tasks {
			scores[c.Zone] += c.Score * float64(min(c.Fits, tasks-fits[c.Zone]))
		}
		fits[c.Zone] += c.Fits
	}
	best := ""
	for zone, f := range fits {
		if f < tasks {
			continue
		}
		if best == "" || scores[zone] > scores[best] || scores[zone] == scores[best] && zone < best {
			best = zone
		}
	}
	return best
}

// InZone keeps the candidates of one zone.
func InZone(candidates []agentapi.Candidate, zone string) []agentapi.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c agentapi.Candidate) bool { return c.Zone != zone })
}

// inZone reports whether a candidate is in the zone, or "" for any.
func inZone(c agentapi.Candidate, zone string) bool { return zone == "" || c.Zone == zone }

// zonesOf is the set of the candidates' zones.
func zonesOf(candidates []agentapi.Candidate) map[string]bool {
	zones := map[string]bool{}
	for _, c := range candidates {
		zones[c.Zone] = true
	}
	return zones
}

// firstZone is the zone of the first of the lists' candidates, or "".
func firstZone(lists ...[]agentapi.Candidate) string {
	for _, list := range lists {
		if len(list) > 0 {
			return list[0].Zone
		}
	}
	return ""
}
