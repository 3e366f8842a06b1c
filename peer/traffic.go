package peer

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"
)

// Traffic is what a controller has asked others since its process or its last session began.
type Traffic struct {
	Sent     uint64            `json:"bytes_sent"`     // on connections that it made, without TCP and IP headers
	Received uint64            `json:"bytes_received"` // answers
	Calls    map[string]uint64 `json:"calls"`          // by method, those to itself included
}

// traffic counts what passes. The zero value counts from nothing.
type traffic struct {
	sent, received atomic.Uint64

	mu    sync.Mutex
	calls map[string]uint64
}

func (t *traffic) called(method string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls == nil {
		t.calls = map[string]uint64{}
	}
	t.calls[method]++
}

// count returns a connection whose bytes are counted.
func (t *traffic) count(conn net.Conn) net.Conn { return countedConn{conn, t} }

type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// Traffic is what this controller has asked others.
func (n *Network) Traffic() Traffic {
	t := &n.traffic
	t.mu.Lock()
	defer t.mu.Unlock()
	return Traffic{Sent: t.sent.Load(), Received: t.received.Load(), Calls: maps.Clone(t.calls)}
}
