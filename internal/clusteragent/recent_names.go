package clusteragent

import "time"

// recentNames is a set of names that were added recently, up to a limit.
type recentNames struct {
	retention time.Duration
	limit     int
	addedAt   map[string]time.Time
}

func newRecentNames(retention time.Duration, limit int) recentNames {
	return recentNames{retention: retention, limit: limit, addedAt: map[string]time.Time{}}
}

// add adds a name, or renews it. At the limit it first drops the expired names, and any others
// until the number is below the limit.
func (r *recentNames) add(name string, now time.Time) {
	if len(r.addedAt) >= r.limit {
		for old, at := range r.addedAt {
			if now.Sub(at) > r.retention || len(r.addedAt) >= r.limit {
				delete(r.addedAt, old)
			}
		}
	}
	r.addedAt[name] = now
}

func (r *recentNames) remove(name string) { delete(r.addedAt, name) }

// contains reports whether the set has a name, whatever its age.
func (r *recentNames) contains(name string) bool {
	_, ok := r.addedAt[name]
	return ok
}

// containsRecent reports whether a name was added within retention.
func (r *recentNames) containsRecent(name string, now time.Time) bool {
	at, ok := r.addedAt[name]
	return ok && now.Sub(at) < r.retention
}
