package steward

import (
	"time"

	"robinstack/job"
)

// A gang starts with all its tasks or not at all. At a team's limit whatever came free
// was taken by smaller jobs at once, so that large gangs waited for as long as there were
// any: with limits that bind, 0.40 to 0.50 of leaf-train's tasks were done where 0.72 to
// 0.81 of its jobs were. So the gang of a team that was refused first gathers what it
// needs: nobody else of its team is permitted what comes free until that is enough. It
// starts, then, once tasks of its team worth its need have ended, whatever comes
// meanwhile; and at no time is more kept back in a team than one gang needs.

const (
	// gatherAfter is how long a gang is refused before it gathers: what comes free by
	// then serves small jobs without keeping anything back.
	gatherAfter = 5 * time.Second
	// gatherWhile is how long a gang gathers without having asked again: its placer
	// tries every few seconds, and one that has gone must not hold its team up.
	gatherWhile = 10 * time.Second
)

// gathering is a gang that its team's limit left no room for.
type gathering struct {
	need         job.Need
	since, asked time.Time
}

// gathers are the gangs that were refused, by team and job.
type gathers map[string]map[string]gathering

// refused notes that a gang was refused.
func (g gathers) refused(team, id string, need job.Need, now time.Time) {
	if g[team] == nil {
		g[team] = map[string]gathering{}
	}
	at, waits := g[team][id]
	if !waits {
		at.since = now
	}
	at.need, at.asked = need, now
	g[team][id] = at
}

func (g gathers) granted(team, id string) { delete(g[team], id) }

// kept is what is kept back in a team for its first gang, from the point of view of
// a job: nothing for that gang itself.
func (g gathers) kept(team, id string, now time.Time) job.Need {
	first, found := "", gathering{}
	for other, at := range g[team] {
		switch {
		case now.Sub(at.asked) > gatherWhile:
			delete(g[team], other)
		case first == "" || at.since.Before(found.since) || at.since.Equal(found.since) && other < first:
			first, found = other, at
		}
	}
	if first == id || now.Sub(found.since) < gatherAfter {
		return job.Need{}
	}
	return found.need
}
