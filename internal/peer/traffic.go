package peer

import (
	"maps"
	"sync"

	"robinstack/internal/netcount"
)

// Traffic is what a controller has asked others since its process or its last session began.
type Traffic struct {
	Sent     uint64            `json:"bytes_sent"`     // on connections that it made, without TCP and IP headers
	Received uint64            `json:"bytes_received"` // answers
	Calls    map[string]uint64 `json:"calls"`          // by method, those to itself included
}

// traffic counts what passes. The zero value counts from nothing.
type traffic struct {
	bytes netcount.Counter

	mu    sync.Mutex
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

// Traffic is what this controller has asked others.
func (n *Network) Traffic() Traffic {
	t := &n.traffic
	t.mu.Lock()
	defer t.mu.Unlock()
	return Traffic{Sent: t.bytes.Sent.Load(), Received: t.bytes.Received.Load(), Calls: maps.Clone(t.calls)}
}
