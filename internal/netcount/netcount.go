// Package netcount counts the bytes sent and received over network connections. Its counters are
// atomic. The package imports the standard library only.
package netcount

import (
	"net"
	"sync/atomic"
)

// Counter counts the bytes of any number of connections, without TCP and IP headers. Its zero value
// is ready to use.
type Counter struct{ Sent, Received atomic.Uint64 }

// WrapConn wraps a connection so that its bytes are counted.
func (c *Counter) WrapConn(conn net.Conn) net.Conn { return countingConn{conn, c} }

type countingConn struct {
	net.Conn
	counter *Counter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Received.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Sent.Add(uint64(n))
	return n, err
}
