// Package peer carries calls between controllers over net/rpc.
package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// ErrNoAnswer says that the call may or may not have been carried out.
var ErrNoAnswer = errors.New("no answer from peer")

// Network calls the services of all controllers, this one included.
type Network struct {
	self      string
	mine      Handshake
	addresses map[string]string
	local     *rpc.Client
	links     map[string]*link
	traffic   traffic
}

// link is one connection to a peer; calls that find it broken dial anew.
type link struct {
	mu     sync.Mutex
	client *rpc.Client
	theirs Handshake
	failed time.Time // a peer that just refused or hung is not dialled again at once
}

// New returns a network; server answers the calls of this controller to itself, and mine
// is how it greets others.
func New(self string, addresses map[string]string, server *rpc.Server, mine *Service) *Network {
	ours, theirs := net.Pipe()
	go server.ServeConn(theirs)
	n := &Network{self: self, mine: mine.mine, addresses: addresses, local: rpc.NewClient(ours), links: map[string]*link{}}
	for host := range addresses {
		n.links[host] = &link{}
	}
	return n
}

// Close ends all connections.
func (n *Network) Close() {
	n.local.Close()
	for _, l := range n.links {
		l.drop(nil)
	}
}

func (l *link) get(address string, mine Handshake, t *traffic) (*rpc.Client, Handshake, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, l.theirs, nil
	}
	if time.Since(l.failed) < 500*time.Millisecond {
		return nil, Handshake{}, errors.New("peer was not reachable just now")
	}
	// The lock is one link's own: callers of a silent peer would only dial
	// the same address beside each other.
	conn, err := net.DialTimeout("tcp4", address, 700*time.Millisecond)
	if err != nil {
		l.failed = time.Now()
		return nil, Handshake{}, err
	}
	client := rpc.NewClient(t.bytes.Conn(conn))
	theirs, err := greet(client, mine)
	if err != nil {
		client.Close()
		l.failed = time.Now()
		return nil, Handshake{}, err
	}
	l.client, l.theirs = client, theirs
	return client, theirs, nil
}

// drop closes the connection if it is still the one that failed.
func (l *link) drop(failed *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil && (failed == nil || failed == l.client) {
		l.client.Close()
		l.client = nil
	}
}

// Call runs method at host and waits until ctx ends. An error that wraps
// ErrNoAnswer leaves open whether the call was carried out; one that wraps
// ErrUnknownMethod says that this peer's version does not know it.
func (n *Network) Call(ctx context.Context, host, method string, args, reply any) error {
	n.traffic.called(method)
	client := n.local
	var l *link
	if host != n.self {
		l = n.links[host]
		if l == nil {
			return fmt.Errorf("no peer %q", host)
		}
		var err error
		var theirs Handshake
		if client, theirs, err = l.get(n.addresses[host], n.mine, &n.traffic); err != nil {
			return fmt.Errorf("reaching %s: %w", host, err)
		}
		if !theirs.knows(method) {
			return fmt.Errorf("%s at %s (build %s): %w", method, host, theirs.Build, ErrUnknownMethod)
		}
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			return nil
		}
		var answered rpc.ServerError
		switch {
		case unknownCall(call.Error):
			return fmt.Errorf("%s at %s: %w: %w", method, host, ErrUnknownMethod, call.Error)
		case errors.As(call.Error, &answered):
			return call.Error
		}
		if l != nil {
			l.drop(client)
		}
		return fmt.Errorf("%s at %s: %w: %w", method, host, ErrNoAnswer, call.Error)
	case <-ctx.Done():
		// A connection on which one answer is overdue may be cut: start anew.
		if l != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			l.drop(client)
		}
		return fmt.Errorf("%s at %s: %w: %w", method, host, ErrNoAnswer, ctx.Err())
	}
}

// Serve answers peers on ln until ctx ends.
func Serve(ctx context.Context, ln net.Listener, server *rpc.Server) {
	var conns sync.WaitGroup
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			slog.Warn("peer connection accept failed", "err", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		conns.Go(func() {
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			server.ServeConn(conn)
		})
	}
	conns.Wait()
}
