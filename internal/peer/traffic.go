package peer

import (
	"maps"
	"sync"

	"robinstack/internal/netcount"
)

// Traffic counts the calls that a controller made over one Network, that is, in one session, and
// the bytes on the connections that it dialled for them.
type Traffic struct {
	Sent     uint64            `json:"bytes_sent"`     // without TCP and IP headers
	Received uint64            `json:"bytes_received"` // without TCP and IP headers
	Calls    map[string]uint64 `json:"calls"`          // by method; includes calls to itself
}

// traffic holds the counters behind Traffic. Its zero value is ready to use.
type traffic struct {
	bytes netcount.Counter

	mu    sync.Mutex // guards calls
	calls map[string]uint64
}

func (t *traffic) countCall(method string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls == nil {
		t.calls = map[string]uint64{}
	}
	t.calls[method]++
}

// Traffic returns the current counts of calls and bytes.
func (n *Network) Traffic() Traffic {
	t := &n.traffic
	t.mu.Lock()
	defer t.mu.Unlock()
	return Traffic{Sent: t.bytes.Sent.Load(), Received: t.bytes.Received.Load(), Calls: maps.Clone(t.calls)}
}
