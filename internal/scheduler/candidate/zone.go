package candidate

import (
	"maps"
	"slices"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

// SpreadLimit returns the maximum number of tasks in one zone for a job that is spread over zones.
func SpreadLimit(spec *job.Spec) int { return (spec.Tasks + 1) / 2 }

// OpenZones lists the zones in which a further task of the job may start, given the number of its
// other unfinished tasks by zone. nil means any zone.
func OpenZones(spec *job.Spec, activeByZone map[string]int, zones []string) []string {
	switch {
	case spec.OneZone:
		for zone := range activeByZone {
			return []string{zone}
		}
	case spec.Spread:
		open := []string{}
		for _, zone := range zones {
			if activeByZone[zone] < SpreadLimit(spec) {
				open = append(open, zone)
			}
		}
		return open
	}
	return nil
}

// EnforceSpreadLimit restricts each list to the zone of its first candidate and drops the lists
// that would exceed the limit of tasks in a zone, given the number of the job's other unfinished
// tasks by zone.
func EnforceSpreadLimit(lists [][]agentapi.Candidate, activeByZone map[string]int, limit int) [][]agentapi.Candidate {
	counts := map[string]int{}
	maps.Copy(counts, activeByZone)
	var kept [][]agentapi.Candidate
	for _, list := range lists {
		zone := list[0].Zone
		if counts[zone] >= limit {
			continue
		}
		counts[zone]++
		kept = append(kept, FilterByZone(list, zone))
	}
	return kept
}

// GangZone returns the zone with the highest total score in which all tasks of a one-zone gang fit,
// or "" if there is none.
func GangZone(candidates []agentapi.Candidate, tasks int) string {
	capacityByZone, scores := map[string]int{}, map[string]float64{}
	for _, c := range candidates {
		if capacityByZone[c.Zone] < tasks {
			scores[c.Zone] += c.Score * float64(min(c.Fits, tasks-capacityByZone[c.Zone]))
		}
		capacityByZone[c.Zone] += c.Fits
	}
	best := ""
	for zone, capacity := range capacityByZone {
		if capacity < tasks {
			continue
		}
		if best == "" || scores[zone] > scores[best] || scores[zone] == scores[best] && zone < best {
			best = zone
		}
	}
	return best
}

// FilterByZone keeps the candidates in the zone.
func FilterByZone(candidates []agentapi.Candidate, zone string) []agentapi.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c agentapi.Candidate) bool { return c.Zone != zone })
}

// inZone reports whether a candidate is in the zone; every candidate is in zone "".
func inZone(c agentapi.Candidate, zone string) bool { return zone == "" || c.Zone == zone }

// zonesOf returns the set of the candidates' zones.
func zonesOf(candidates []agentapi.Candidate) map[string]bool {
	zones := map[string]bool{}
	for _, c := range candidates {
		zones[c.Zone] = true
	}
	return zones
}

// firstZone returns the zone of the first candidate in the lists, or "" if they are empty.
func firstZone(lists ...[]agentapi.Candidate) string {
	for _, list := range lists {
		if len(list) > 0 {
			return list[0].Zone
		}
	}
	return ""
}
