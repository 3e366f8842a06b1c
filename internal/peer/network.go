// Package peer carries calls between controllers over net/rpc.
//
// It owns one connection to each other controller (link), dialled anew once it is found broken,
// and counts of what passed (traffic). Each link, and the counts, have a mutex of their own. The
// package imports netcount only, and knows nothing of the services that it carries.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
)

// ErrNoAnswer says that the call may or may not have been carried out.
var ErrNoAnswer = errors.New("no answer from peer")

// Caller reaches the services of all controllers.
type Caller interface {
	// Call runs method at host and waits for reply until ctx ends. An error that wraps
	// ErrNoAnswer leaves open whether the call was carried out; one that wraps ErrUnknownMethod
	// says that this peer's version does not know it.
	Call(ctx context.Context, host, method string, args, reply any) error
}

// Network calls the services of all controllers, this one included.
type Network struct {
	self      string
	local     *rpc.Client
	links     map[string]*link // by host; the map does not change
	handshake Handshake        // what this controller says of itself
	traffic   traffic
}

var _ Caller = (*Network)(nil)

// New returns a network of the controllers at these addresses, by host. server answers the calls
// of this controller to itself, and service says what it tells others of itself.
func New(self string, addresses map[string]string, server *rpc.Server, service *Service) *Network {
	ours, theirs := net.Pipe()
	go server.ServeConn(theirs) // until Close closes the other end
	n := &Network{
		self:      self,
		local:     rpc.NewClient(ours),
		links:     map[string]*link{},
		handshake: service.handshake,
	}
	for host, address := range addresses {
		n.links[host] = &link{address: address}
	}
	return n
}

// Close ends all connections.
func (n *Network) Close() {
	_ = n.local.Close() // closed already is as good
	for _, l := range n.links {
		l.close()
	}
}

// Call runs method at host and waits until ctx ends (see Caller).
func (n *Network) Call(ctx context.Context, host, method string, args, reply any) error {
	n.traffic.countCall(method)
	if host == n.self {
		_, err := roundTrip(ctx, n.local, host, method, args, reply)
		return err
	}
	l := n.links[host]
	if l == nil {
		return fmt.Errorf("no peer %q", host)
	}
	client, theirs, err := l.connect(ctx, n.handshake, &n.traffic)
	if err != nil {
		return fmt.Errorf("reaching %s: %w", host, err)
	}
	if !theirs.knows(method) {
		return fmt.Errorf("%s at %s (build %s): %w", method, host, theirs.Build, ErrUnknownMethod)
	}
	broken, err := roundTrip(ctx, client, host, method, args, reply)
	if broken {
		l.drop(client)
	}
	return err
}

// roundTrip makes a call over a connection, and reports whether that may be broken.
func roundTrip(
	ctx context.Context, client *rpc.Client, host, method string, args, reply any,
) (broken bool, err error) {
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		// A connection on which one answer is overdue may be cut: start anew.
		overdue := errors.Is(ctx.Err(), context.DeadlineExceeded)
		return overdue, fmt.Errorf("%s at %s: %w: %w", method, host, ErrNoAnswer, ctx.Err())
	}
	var answered rpc.ServerError
	switch {
	case call.Error == nil:
		return false, nil
	case isUnknownMethod(call.Error):
		return false, fmt.Errorf("%s at %s: %w: %w", method, host, ErrUnknownMethod, call.Error)
	case errors.As(call.Error, &answered):
		return false, call.Error
	}
	return true, fmt.Errorf("%s at %s: %w: %w", method, host, ErrNoAnswer, call.Error)
}
