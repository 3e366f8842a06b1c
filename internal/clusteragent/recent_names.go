package clusteragent

import "time"

// recentNames remembers names for a time, up to a limit.
type recentNames struct {
	keepFor time.Duration
	limit   int
	addedAt map[string]time.Time
}

func newRecentNames(keepFor time.Duration, limit int) recentNames {
	return recentNames{keepFor: keepFor, limit: limit, addedAt: map[string]time.Time{}}
}

// add remembers a name from now on. At the limit others are dropped: those that have expired,
// and any others until the number is below it.
func (r *recentNames) add(name string, now time.Time) {
	if len(r.addedAt) >= r.limit {
		for old, at := range r.addedAt {
			if now.Sub(at) > r.keepFor || len(r.addedAt) >= r.limit {
				delete(r.addedAt, old)
			}
		}
	}
	r.addedAt[name] = now
}

func (r *recentNames) remove(name string) { delete(r.addedAt, name) }

// known reports whether a name is remembered, however old.
func (r *recentNames) known(name string) bool {
	_, ok := r.addedAt[name]
	return ok
}

// recent reports whether a name was added within the time.
func (r *recentNames) recent(name string, now time.Time) bool {
	at, ok := r.addedAt[name]
	return ok && now.Sub(at) < r.keepFor
}
