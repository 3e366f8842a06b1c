// Package netcount counts the bytes that pass through network connections. It owns counters
// alone, which are atomic, and imports the standard library only.
package netcount

import (
	"net"
	"sync/atomic"
)

// Counter counts bytes of any number of connections, without TCP and IP headers. The zero
// value counts from nothing.
type Counter struct{ Sent, Received atomic.Uint64 }

// Conn returns a connection whose bytes are counted.
func (c *Counter) Conn(conn net.Conn) net.Conn { return countedConn{conn, c} }

type countedConn struct {
	net.Conn
	counter *Counter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Received.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Sent.Add(uint64(n))
	return n, err
}
