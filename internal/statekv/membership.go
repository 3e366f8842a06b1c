package statekv

import (
	"encoding/json"
	"slices"
	"sort"
	"time"
)

// Alive reports whether the holder's session goes on, as far as the mirror shows.
func (s *Session) Alive(holder Holder) bool {
	kv, ok := s.mirror.Get(SessionPrefix + holder.Host)
	return ok && kv.Rev == holder.Incarnation
}

// AliveHosts lists the controllers that have a session, in order, as far as the mirror shows.
func (s *Session) AliveHosts() []string {
	var hosts []string
	for _, kv := range s.mirror.Dir(SessionPrefix) {
		if RejectionReason(kv) == "" {
			hosts = append(hosts, kv.Key[len(SessionPrefix):])
		}
	}
	sort.Strings(hosts)
	return hosts
}

// restartWindow is how long a new session leaves what is not its own share to controllers that
// may just be restarting too.
const restartWindow = 2 * time.Second

// Successors lists the controllers among which roles are divided whose holder's session has
// ended: those that are alive. A session that has just opened counts all there are, given as hosts,
// for when all have crashed they come back within a second of each other, and the first would
// take everything.
func (s *Session) Successors(hosts []string) []string {
	if time.Since(s.opened) > restartWindow {
		return s.AliveHosts()
	}
	return slices.Sorted(slices.Values(hosts))
}

// Rejection is what another controller writes in place of a session that must not go on.
type Rejection struct {
	Reason string `json:"refused"`
}

// RejectionReason says why the session whose key kv was is rejected, or "".
func RejectionReason(kv KV) string {
	const emptyObject = "{}" // what most registrations say
	var rejection Rejection
	if len(kv.Value) > len(emptyObject) && json.Unmarshal(kv.Value, &rejection) == nil {
		return rejection.Reason
	}
	return ""
}
