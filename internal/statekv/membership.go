package statekv

import (
	"encoding/json"
	"slices"
	"sort"
	"time"
)

// Alive reports whether, according to the mirror, the holder's session is open.
func (s *Session) Alive(holder Holder) bool {
	kv, ok := s.mirror.Get(SessionPrefix + holder.Host)
	return ok && kv.Rev == holder.Incarnation
}

// AliveHosts returns the hosts of the controllers that, according to the mirror, have a session, in
// sorted order.
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

// restartWindow is how long after its start a session counts all configured hosts as successors,
// since other controllers may be restarting at the same time.
const restartWindow = 2 * time.Second

// Successors returns the controllers among which the roles of holders without a session are
// divided, in sorted order: the controllers that are alive. Within restartWindow of its start, a
// session counts all configured hosts instead. After a crash of all controllers they return within
// a second of each other, and the first one would otherwise take all roles.
func (s *Session) Successors(hosts []string) []string {
	if time.Since(s.opened) > restartWindow {
		return s.AliveHosts()
	}
	return slices.Sorted(slices.Values(hosts))
}

// Rejection is the value that another controller writes to a session's key to end that session.
type Rejection struct {
	Reason string `json:"refused"`
}

// RejectionReason returns why the session with key kv is rejected, or "" if it is not rejected.
func RejectionReason(kv KV) string {
	const emptyObject = "{}" // value of most registrations
	var rejection Rejection
	if len(kv.Value) > len(emptyObject) && json.Unmarshal(kv.Value, &rejection) == nil {
		return rejection.Reason
	}
	return ""
}
