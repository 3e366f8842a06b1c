package rollout

import (
	"log/slog"
	"sync"

	"robinstack/internal/statekv"
)

// VersionReader reads the cluster version from a mirror. It is safe for concurrent use.
type VersionReader struct {
	keys         KeyReader
	capabilities Capabilities

	mu       sync.Mutex // guards version, readRev, fenceRev and problem
	version  ClusterVersion
	readRev  uint64 // revision of the key when it was last read, decodable or not
	fenceRev uint64 // revision of the key that Current's compare requires
	problem  string // why the stored version cannot be used, or ""
}

// NewVersionReader returns a reader for this build. It reads the version at once. A session begins
// only under a version that can be read, so this version can stay in force if a later value of the
// key cannot be decoded.
func NewVersionReader(keys KeyReader) *VersionReader {
	r := &VersionReader{keys: keys, capabilities: LocalCapabilities()}
	r.Current()
	return r
}

// Current returns the cluster version and a compare that it is unchanged. Every transaction whose
// operations depend on the version carries the compare.
//
// If the key cannot be decoded, the previous version stays in force, and nobody overwrites the key.
// If this build does not support the stored version, Current returns the last supported version
// with its compare, which no longer holds, so that this build's writes fail.
func (r *VersionReader) Current() (ClusterVersion, statekv.Compare) {
	kv, _ := r.keys.Get(statekv.ClusterVersionKey) // if absent: revision 0, version 0
	r.mu.Lock()
	defer r.mu.Unlock()
	if kv.Rev != r.readRev {
		r.update(kv)
	}
	return r.version, statekv.Compare{Key: statekv.ClusterVersionKey, Rev: r.fenceRev}
}

// update reads a new revision of the key. The caller must hold r.mu.
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

// UnusableReason returns why the stored version cannot be used, or "".
func (r *VersionReader) UnusableReason() string {
	r.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.problem
}
