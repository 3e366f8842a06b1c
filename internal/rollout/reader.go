package rollout

import (
	"log/slog"
	"sync"

	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// VersionReader tells what the fleet does by the level's key, as last seen in a mirror.
type VersionReader struct {
	keys Keys
	caps Capabilities

	mu    sync.Mutex
	level ClusterVersion
	rev   uint64 // of the key as it was read last, readable or not
	under uint64 // revision under which this build may write
	bad   string
}

// NewVersionReader returns a reader for this build. It reads the level at once: a life begins
// only under a level that can be read, so that there is one to go on at.
func NewVersionReader(keys Keys) *VersionReader {
	r := &VersionReader{keys: keys, caps: LocalCapabilities()}
	r.Current()
	return r
}

// Current returns the level and the condition that it has not changed, which everything
// carries that is written in one form or another by it.
//
// A key that cannot be read changes nothing here: the fleet goes on at the level that
// it had, and nobody overwrites the key. A level that this build does not know leaves
// it with the condition of the one that it knew, which does not hold any more, so that
// it writes nothing.
func (r *VersionReader) Current() (ClusterVersion, statekv.Compare) {
	kv, _ := r.keys.Get(statekv.ClusterVersionKey)
	r.mu.Lock()
	defer r.mu.Unlock()
	if kv.Rev != r.rev {
		r.rev, r.bad = kv.Rev, ""
		level, err := ClusterVersion{}, error(nil)
		if kv.Rev != 0 {
			level, err = ParseClusterVersion(kv.Value)
		}
		switch lacks := r.caps.Missing(level); {
		case err != nil:
			r.bad, r.under = err.Error(), kv.Rev
			slog.Error("cluster version undecodable, keeping the previous one", "key", statekv.ClusterVersionKey, "cluster_version", r.level.Number, "err", err)
		case lacks != "":
			r.bad = "this build lacks " + lacks
		default:
			r.level, r.under = level, kv.Rev
		}
	}
	return r.level, statekv.Compare{Key: statekv.ClusterVersionKey, Rev: r.under}
}

// Enabled reports whether a feature is on.
func (r *VersionReader) Enabled(f Feature) bool {
	level, _ := r.Current()
	return level.Enabled(f)
}

// Problem tells why the key cannot be read, or "".
func (r *VersionReader) Problem() string {
	r.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bad
}

// TombstoneFormats says in which forms jobs that are over are recorded at a level.
func (l ClusterVersion) TombstoneFormats() tombstone.Formats {
	switch {
	case l.Enabled(FeatureCompactTombstonesOnly):
		return tombstone.CompactOnly
	case l.Enabled(FeatureTombstones):
		return tombstone.LegacyAndCompact
	}
	return tombstone.LegacyOnly
}
