// Package peer carries calls between controllers over net/rpc.
//
// It owns one connection to each other controller (peerConn), which is dialled again after it was
// found broken, and counters of calls and bytes (traffic). Each connection and the counters have
// mutexes of their own. The package imports netcount only and does not depend on the services whose
// calls it carries.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
)

// ErrNoAnswer means that the outcome of the call is unknown: it may or may not have been carried
// out, or may yet be.
var ErrNoAnswer = errors.New("no answer from peer")

// Caller calls the services of all controllers.
type Caller interface {
	// Call calls method at host and waits for reply until ctx ends. After an error that wraps
	// ErrNoAnswer it is unknown whether the call was carried out. An error that wraps
	// ErrUnknownMethod means that the peer's build does not implement the method.
	Call(ctx context.Context, host, method string, args, reply any) error
}

// Network calls the services of all controllers, this one included.
type Network struct {
	self      string
	local     *rpc.Client          // for calls of this controller to itself
	conns     map[string]*peerConn // by host; the map is never changed
	handshake Handshake            // of this controller
	traffic   traffic
}

var _ Caller = (*Network)(nil)

// New returns a network of the controller self and its peers, whose addresses are given by host.
// server answers the calls of this controller to itself, and service has the handshake that peers
// get.
func New(self string, addresses map[string]string, server *rpc.Server, service *Service) *Network {
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(serverConn) // until Close closes clientConn
	n := &Network{
		self:      self,
		local:     rpc.NewClient(clientConn),
		conns:     map[string]*peerConn{},
		handshake: service.handshake,
	}
	for host, address := range addresses {
		n.conns[host] = &peerConn{address: address}
	}
	return n
}

// Close ends all connections.
func (n *Network) Close() {
	_ = n.local.Close() // an error means that it is already closed
	for _, conn := range n.conns {
		conn.close()
	}
}

// Call implements Caller.
func (n *Network) Call(ctx context.Context, host, method string, args, reply any) error {
	n.traffic.countCall(method)
	if host == n.self {
		_, err := roundTrip(ctx, n.local, host, method, args, reply)
		return err
	}
	conn := n.conns[host]
	if conn == nil {
		return fmt.Errorf("unknown peer %q", host)
	}
	client, remote, err := conn.connect(ctx, n.handshake, &n.traffic)
	if err != nil {
		return fmt.Errorf("connecting to %s: %w", host, err)
	}
	if !remote.supports(method) {
		return fmt.Errorf("%s at %s (build %s): %w", method, host, remote.Build, ErrUnknownMethod)
	}
	broken, err := roundTrip(ctx, client, host, method, args, reply)
	if broken {
		conn.drop(client)
	}
	return err
}

// roundTrip makes one call over a connection. broken reports whether the connection must not be
// used for further calls.
func roundTrip(
	ctx context.Context, client *rpc.Client, host, method string, args, reply any,
) (broken bool, err error) {
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		// A connection on which an answer is overdue may be dead, so the next call needs a new one.
		overdue := errors.Is(ctx.Err(), context.DeadlineExceeded)
		return overdue, fmt.Errorf("%s at %s: %w: %w", method, host, ErrNoAnswer, ctx.Err())
	}
	var serverError rpc.ServerError
	switch {
	case call.Error == nil:
		return false, nil
	case isUnknownMethod(call.Error):
		return false, fmt.Errorf("%s at %s: %w: %w", method, host, ErrUnknownMethod, call.Error)
	case errors.As(call.Error, &serverError):
		return false, call.Error
	}
	return true, fmt.Errorf("%s at %s: %w: %w", method, host, ErrNoAnswer, call.Error)
}
