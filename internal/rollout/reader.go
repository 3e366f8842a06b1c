package rollout

import (
	"log/slog"
	"sync"

	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// Reader tells what the fleet does by the level's key, as last seen in a mirror.
type Reader struct {
	keys Keys
	caps Caps

	mu    sync.Mutex
	level Level
	rev   uint64 // of the key as it was read last, readable or not
	under uint64 // revision under which this build may write
	bad   string
}

// NewReader returns a reader for this build. It reads the level at once: a life begins
// only under a level that can be read, so that there is one to go on at.
func NewReader(keys Keys) *Reader {
	r := &Reader{keys: keys, caps: OurCaps()}
	r.Now()
	return r
}

// Now returns the level and the condition that it has not changed, which everything
// carries that is written in one form or another by it.
//
// A key that cannot be read changes nothing here: the fleet goes on at the level that
// it had, and nobody overwrites the key. A level that this build does not know leaves
// it with the condition of the one that it knew, which does not hold any more, so that
// it writes nothing.
func (r *Reader) Now() (Level, statekv.Compare) {
	kv, _ := r.keys.Get(statekv.ClusterVersionKey)
	r.mu.Lock()
	defer r.mu.Unlock()
	if kv.Rev != r.rev {
		r.rev, r.bad = kv.Rev, ""
		level, err := Level{}, error(nil)
		if kv.Rev != 0 {
			level, err = ParseLevel(kv.Value)
		}
		switch lacks := r.caps.Lacks(level); {
		case err != nil:
			r.bad, r.under = err.Error(), kv.Rev
			slog.Error("cluster version undecodable, keeping the previous one", "key", statekv.ClusterVersionKey, "cluster_version", r.level.N, "err", err)
		case lacks != "":
			r.bad = "this build lacks " + lacks
		default:
			r.level, r.under = level, kv.Rev
		}
	}
	return r.level, statekv.Compare{Key: statekv.ClusterVersionKey, Rev: r.under}
}

// On reports whether a feature is on.
func (r *Reader) On(f Feature) bool {
	level, _ := r.Now()
	return level.Has(f)
}

// Bad tells why the key cannot be read, or "".
func (r *Reader) Bad() string {
	r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bad
}

// Writes says in which forms jobs that are over are recorded at a level.
func (l Level) Writes() tombstone.Writing {
	switch {
	case l.Has(EndedOnly):
		return tombstone.Compact
	case l.Has(Ended):
		return tombstone.Both
	}
	return tombstone.Former
}
