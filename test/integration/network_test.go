package integration

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"

	"robinstack/internal/peer"
)

// controllerNetwork connects the controllers' sessions. Its mutex guards all of it.
type controllerNetwork struct {
	mu          sync.Mutex
	endpoints   map[string]*endpoint // by host
	partitioned map[string]bool      // controllers that others do not reach, nor they others
	inboundLost map[string]bool      // controllers that others do not reach
}

func newControllerNetwork() *controllerNetwork {
	return &controllerNetwork{
		endpoints:   map[string]*endpoint{},
		partitioned: map[string]bool{},
		inboundLost: map[string]bool{},
	}
}

// setPartitioned parts a controller from the others, or joins it again.
func (n *controllerNetwork) setPartitioned(host string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[host] = partitioned
}

// setInboundLost has a controller not be reached by the others, while it reaches them.
func (n *controllerNetwork) setInboundLost(host string, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inboundLost[host] = lost
}

// route returns where calls of a controller to a host go, nil if nobody listens there, and
// whether they get there.
func (n *controllerNetwork) route(from *endpoint, host string) (to *endpoint, reachable bool) {
	if host == from.host {
		return from, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	lost := n.partitioned[host] || n.partitioned[from.host] || n.inboundLost[host]
	return n.endpoints[host], !lost
}

// endpoint is the network of one session, with net/rpc over pipes. Its mutex guards clients
// and connections.
type endpoint struct {
	network *controllerNetwork
	host    string
	server  *rpc.Server

	mu          sync.Mutex
	clients     map[*endpoint]*rpc.Client // by the session that they reach
	connections []net.Conn
}

func (n *controllerNetwork) newEndpoint(host string, server *rpc.Server) *endpoint {
	return &endpoint{network: n, host: host, server: server, clients: map[*endpoint]*rpc.Client{}}
}

// Listen has the others reach this session until serve's context ends.
func (e *endpoint) Listen() (serve func(ctx context.Context), err error) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.network.endpoints[e.host] = e
	return func(ctx context.Context) {
		<-ctx.Done()
		e.leave()
	}, nil
}

func (e *endpoint) leave() {
	e.network.mu.Lock()
	if e.network.endpoints[e.host] == e {
		delete(e.network.endpoints, e.host)
	}
	e.network.mu.Unlock()
	e.Close()
}

// Close ends the connections to this session.
func (e *endpoint) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.connections {
		c.Close()
	}
}

// connect returns a client that reaches this session.
func (e *endpoint) connect() *rpc.Client {
	ours, theirs := net.Pipe()
	e.mu.Lock()
	e.connections = append(e.connections, theirs)
	e.mu.Unlock()
	go e.server.ServeConn(theirs)
	return rpc.NewClient(ours)
}

// clientOf returns the client for another session.
func (e *endpoint) clientOf(to *endpoint) *rpc.Client {
	e.mu.Lock()
	client := e.clients[to]
	e.mu.Unlock()
	if client != nil {
		return client
	}
	client = to.connect()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clients[to] = client
	return client
}

// Call calls a method of a controller. The error is peer.ErrNoAnswer if that does not
// answer before ctx ends.
func (e *endpoint) Call(ctx context.Context, host, method string, args, reply any) error {
	to, reachable := e.network.route(e, host)
	if !reachable {
		<-ctx.Done()
		return fmt.Errorf("%s at %s: %w", method, host, peer.ErrNoAnswer)
	}
	if to == nil {
		return fmt.Errorf("%s: connection refused", host)
	}
	call := e.clientOf(to).Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		var answered rpc.ServerError
		if call.Error == nil || errors.As(call.Error, &answered) {
			return call.Error
		}
		return fmt.Errorf("%s at %s: %w: %w", method, host, peer.ErrNoAnswer, call.Error)
	case <-ctx.Done():
		return fmt.Errorf("%s at %s: %w", method, host, peer.ErrNoAnswer)
	}
}
