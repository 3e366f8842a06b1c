package statekv

import (
	"log/slog"
	"maps"
	"sync"
)

// maxUndecodable bounds the undecodable keys that are kept in mind.
const maxUndecodable = 100

// undecodableKeys holds why keys' values cannot be decoded.
type undecodableKeys struct {
	mu      sync.Mutex
	reasons map[string]string // by key
}

// ReportUndecodable notes that the value of a key cannot be decoded, and logs it once. The key
// is left as it is, for whoever wrote it can read it, or a person has to see it.
func (m *Mirror) ReportUndecodable(key string, err error) {
	if m.undecodable.add(key, err) {
		slog.Error("stored value undecodable, kept unchanged", "key", key, "err", err)
	}
}

// Undecodable lists the keys whose values cannot be decoded, with the reason.
func (m *Mirror) Undecodable() map[string]string { return m.undecodable.list() }

// add notes a key, and reports whether it is new.
func (u *undecodableKeys) add(key string, err error) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.reasons[key]; known || len(u.reasons) >= maxUndecodable {
		return false
	}
	u.reasons[key] = err.Error()
	return true
}

// remove forgets a key, whose value has changed.
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
