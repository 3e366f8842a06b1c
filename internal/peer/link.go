package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the dialling of a peer.
	dialTimeout = 700 * time.Millisecond
	// redialDelay is how long a peer that just refused or hung is not dialled again.
	redialDelay = 500 * time.Millisecond
)

// link is the connection to one peer; calls that find it broken dial anew.
type link struct {
	address string

	mu         sync.Mutex
	client     *rpc.Client // nil: not connected
	theirs     Handshake   // of the connected peer
	lastFailed time.Time   // when connecting failed
}

// connect returns the connection, making it if there is none, and what the peer said of itself.
// The mutex is held while it dials: it is one link's own, and callers of an unresponsive peer
// would only dial the same address beside each other. What the dialling takes is not bounded by
// ctx, for others wait for the same connection.
func (l *link) connect(ctx context.Context, mine Handshake, counts *traffic) (*rpc.Client, Handshake, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, l.theirs, nil
	}
	if time.Since(l.lastFailed) < redialDelay {
		return nil, Handshake{}, errors.New("peer was not reachable just now")
	}
	client, theirs, err := dial(context.WithoutCancel(ctx), l.address, mine, counts)
	if err != nil {
		l.lastFailed = time.Now()
		return nil, Handshake{}, err
	}
	l.client, l.theirs = client, theirs
	return client, theirs, nil
}

// dial connects to a peer and shakes hands.
func dial(ctx context.Context, address string, mine Handshake, counts *traffic) (*rpc.Client, Handshake, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, Handshake{}, err
	}
	client := rpc.NewClient(counts.bytes.Conn(conn))
	theirs, err := shakeHands(ctx, client, mine)
	if err != nil {
		_ = client.Close() // the peer is given up; err says why
		return nil, Handshake{}, err
	}
	return client, theirs, nil
}

// drop closes the connection if it is still the one that failed.
func (l *link) drop(failed *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == failed {
		l.closeLocked()
	}
}

// close closes the connection, if there is one.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLocked()
}

// closeLocked closes the connection, if there is one. The caller holds the mutex.
func (l *link) closeLocked() {
	if l.client == nil {
		return
	}
	_ = l.client.Close() // broken or closed already is as good
	l.client = nil
}
