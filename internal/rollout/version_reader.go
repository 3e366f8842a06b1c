package rollout

import (
	"log/slog"
	"sync"

	"robinstack/internal/statekv"
)

// VersionReader returns the cluster version, as last seen in a mirror. It is safe for
// concurrent use.
type VersionReader struct {
	keys         Keys
	capabilities Capabilities

	mu       sync.Mutex
	version  ClusterVersion
	readRev  uint64 // revision of the key as it was read last, decodable or not
	fenceRev uint64 // revision under which this build may write
	problem  string // why the key cannot be used, or ""
}

// NewVersionReader returns a reader for this build. It reads the version at once: a
// session begins only under a version that can be read, so that there is one to keep.
func NewVersionReader(keys Keys) *VersionReader {
	r := &VersionReader{keys: keys, capabilities: LocalCapabilities()}
	r.Current()
	return r
}

// Current returns the version and the compare that it has not changed, which every
// transaction carries whose ops depend on the version.
//
// A key that cannot be decoded changes nothing here: the cluster keeps the version that it
// had, and nobody overwrites the key. A version that this build does not support leaves it
// with the compare of the one that it supported, which does not hold any more, so that it
// writes nothing.
func (r *VersionReader) Current() (ClusterVersion, statekv.Compare) {
	kv, _ := r.keys.Get(statekv.ClusterVersionKey) // absent: revision 0, version 0
	r.mu.Lock()
	defer r.mu.Unlock()
	if kv.Rev != r.readRev {
		r.update(kv)
	}
	return r.version, statekv.Compare{Key: statekv.ClusterVersionKey, Rev: r.fenceRev}
}

// update takes over another revision of the key. r.mu is held.
func (r *VersionReader) update(kv statekv.KV) {
	r.readRev, r.problem = kv.Rev, ""
	version := ClusterVersion{}
	if kv.Rev != 0 {
		var err error
		if version, err = ParseClusterVersion(kv.Value); err != nil {
			r.problem, r.fenceRev = err.Error(), kv.Rev
			slog.Error("cluster version undecodable, keeping the previous one",
				"key", statekv.ClusterVersionKey, "cluster_version", r.version.Number, "err", err)
			return
		}
	}
	if missing := r.capabilities.Missing(version); missing != "" {
		r.problem = "this build lacks " + missing
		return
	}
	r.version, r.fenceRev = version, kv.Rev
}

// Enabled reports whether a feature is enabled.
func (r *VersionReader) Enabled(feature Feature) bool {
	version, _ := r.Current()
	return version.Enabled(feature)
}

// Problem says why the key cannot be used, or "".
func (r *VersionReader) Problem() string {
	r.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.problem
}
