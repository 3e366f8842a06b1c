package peer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"
)

const (
	// dialTimeout bounds one attempt to connect to a peer.
	dialTimeout = 700 * time.Millisecond
	// redialDelay is how long a peer is not dialled again after a failed attempt to connect.
	redialDelay = 500 * time.Millisecond
)

// peerConn is the connection to one peer. A call that finds no working connection dials a new one.
type peerConn struct {
	address string

	mu          sync.Mutex  // guards the fields below
	client      *rpc.Client // nil: not connected
	handshake   Handshake   // of the connected peer
	lastFailure time.Time   // of the last attempt to dial that failed
}

// connect returns the client of the connection and the peer's handshake; it dials if there is no
// connection. It holds c.mu while it dials: c.mu guards only this connection, and without it the
// callers of an unresponsive peer would dial the same address in parallel. Dialling continues when
// ctx ends, because other callers wait for the same connection.
func (c *peerConn) connect(ctx context.Context, local Handshake, counters *traffic) (*rpc.Client, Handshake, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		return c.client, c.handshake, nil
	}
	if time.Since(c.lastFailure) < redialDelay {
		return nil, Handshake{}, fmt.Errorf("last attempt to dial %s failed less than %v ago", c.address, redialDelay)
	}
	client, remote, err := dial(context.WithoutCancel(ctx), c.address, local, counters)
	if err != nil {
		c.lastFailure = time.Now()
		return nil, Handshake{}, err
	}
	c.client, c.handshake = client, remote
	return client, remote, nil
}

// dial connects to a peer and exchanges handshakes with it.
func dial(ctx context.Context, address string, local Handshake, counters *traffic) (*rpc.Client, Handshake, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, Handshake{}, err
	}
	client := rpc.NewClient(counters.bytes.WrapConn(conn))
	remote, err := exchangeHandshakes(ctx, client, local)
	if err != nil {
		_ = client.Close() // err already tells why the connection is given up
		return nil, Handshake{}, err
	}
	return client, remote, nil
}

// drop closes the connection if failed is still its client. Another caller may already have dialled
// a new one.
func (c *peerConn) drop(failed *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == failed {
		c.closeLocked()
	}
}

// close closes the connection, if there is one. c.mu must not be held.
func (c *peerConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// closeLocked closes the connection, if there is one. The caller must hold c.mu.
func (c *peerConn) closeLocked() {
	if c.client == nil {
		return
	}
	_ = c.client.Close() // an error means that the connection is already broken or closed
	c.client = nil
}
