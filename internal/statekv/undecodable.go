package statekv

import (
	"log/slog"
	"maps"
	"sync"
)

// maxUndecodable bounds the number of undecodable keys that a mirror records.
const maxUndecodable = 100

// undecodableKeys records the keys whose values cannot be decoded, with the reasons.
type undecodableKeys struct {
	mu      sync.Mutex
	reasons map[string]string // by key
}

// ReportUndecodable records that the value of a key cannot be decoded, and logs it once. The key is
// kept unchanged, since the version that wrote it may be able to decode it, or an operator has to
// inspect it.
func (m *Mirror) ReportUndecodable(key string, err error) {
	if m.undecodable.add(key, err) {
		slog.Error("stored value undecodable, kept unchanged", "key", key, "err", err)
	}
}

// Undecodable returns the keys whose values cannot be decoded, with the reasons.
func (m *Mirror) Undecodable() map[string]string { return m.undecodable.list() }

// add records a key and reports whether it was added.
func (u *undecodableKeys) add(key string, err error) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.reasons[key]; known || len(u.reasons) >= maxUndecodable {
		return false
	}
	u.reasons[key] = err.Error()
	return true
}

// remove drops a key whose value has changed.
func (u *undecodableKeys) remove(key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.reasons, key)
}

func (u *undecodableKeys) list() map[string]string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.reasons)
}
