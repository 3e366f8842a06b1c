package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"robinstack/emulator"
)

// linkMode is how a link treats the data of one direction.
type linkMode int

const (
	// linkOpen: data passes.
	linkOpen linkMode = iota
	// linkSilent: nothing passes; at the end of the fault, connections with lost data are reset.
	linkSilent
	// linkHeld: nothing passes until the end of the fault, when the data is delivered, also that of
	// clients that have given up.
	linkHeld
	// linkReset: connections are reset and refused.
	linkReset
)

func (m linkMode) String() string { return [...]string{"open", "silent", "held", "reset"}[m] }

// Directions of a link: from the client to the server and back.
const (
	toServer = iota
	toClient
	directions
)

// link forwards the connections of its address to a server and injects faults. mu guards the fields
// below it and is not held during I/O.
type link struct {
	ctx      context.Context // of the connections to the server
	listener net.Listener
	kind     emulator.MessageKind // of the messages to the server
	copies   *emulator.LateCopies // nil: no message arrives twice

	mu       sync.Mutex
	target   string // address of the server; "": not known yet
	modes    [directions]linkMode
	delay    time.Duration // of each piece of data
	changed  chan struct{} // closed and replaced when modes change
	conns    map[net.Conn]bool
	affected int // connections refused, and pieces of data held or lost
}

// listenLink opens a link to target on a free loopback port.
func listenLink(
	ctx context.Context, target string, kind emulator.MessageKind, copies *emulator.LateCopies,
) (*link, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("opening a link to %s: %w", target, err)
	}
	l := &link{
		ctx: ctx, target: target, listener: listener, kind: kind, copies: copies,
		changed: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	go l.serve()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// setTarget sets the address of the server.
func (l *link) setTarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = address
}

// close ends the link and all its connections.
func (l *link) close() {
	_ = l.listener.Close() // an error means that it is closed already
	l.setModes(linkReset, linkReset)
}

// setModes sets how both directions treat data from now on.
func (l *link) setModes(server, client linkMode) {
	l.mu.Lock()
	l.modes = [directions]linkMode{toServer: server, toClient: client}
	close(l.changed)
	l.changed = make(chan struct{})
	var reset []net.Conn
	if server == linkReset || client == linkReset {
		for c := range l.conns {
			reset = append(reset, c)
		}
		l.affected += len(reset)
	}
	l.mu.Unlock()
	for _, c := range reset {
		resetConn(c)
	}
}

// setDelay delays each piece of data by d.
func (l *link) setDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// affectedCount returns how many connections and pieces of data faults have affected so far.
func (l *link) affectedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.affected
}

func (l *link) serve() {
	for {
		client, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go l.forward(client)
		}
	}
}

// forward forwards one connection until both directions have ended. A connection that is opened
// during a fault never reaches the server.
func (l *link) forward(client net.Conn) {
	defer l.track(client)()
	if l.blockNewConn() {
		resetConn(client)
		return
	}
	server, err := l.dialServer()
	if err != nil {
		resetConn(client)
		return
	}
	defer l.track(server)()
	var pumps sync.WaitGroup
	pumps.Go(func() { l.pump(toServer, client, server) })
	pumps.Go(func() { l.pump(toClient, server, client) })
	pumps.Wait()
}

// dialServer opens a connection to the server.
func (l *link) dialServer() (net.Conn, error) {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	dialer := net.Dialer{Timeout: time.Second}
	return dialer.DialContext(l.ctx, "tcp4", target)
}

// track registers a connection and returns the function that closes and unregisters it.
func (l *link) track(c net.Conn) (untrack func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return func() {
		_ = c.Close() // it may have been reset
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	}
}

// blockNewConn reports whether a new connection must not reach the server. It returns at once if the
// link is open or resets connections, and otherwise at the end of the fault.
func (l *link) blockNewConn() bool {
	blocked := false
	for {
		l.mu.Lock()
		modes, changed := l.modes, l.changed
		if modes != [directions]linkMode{} && !blocked {
			l.affected++
			blocked = true
		}
		l.mu.Unlock()
		if modes == [directions]linkMode{} || modes[toServer] == linkReset || modes[toClient] == linkReset {
			return blocked
		}
		<-changed
	}
}

// pumpBufferBytes is the size of the pieces in which data is forwarded.
const pumpBufferBytes = 32 << 10

// pump forwards one direction until it ends.
func (l *link) pump(direction int, from, to net.Conn) {
	buffer := make([]byte, pumpBufferBytes)
	copier := messageCopier{link: l}
	for {
		n, readErr := from.Read(buffer)
		if !l.pass(direction) {
			resetConn(from)
			resetConn(to)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil && n > 0 {
			return
		}
		if direction == toServer {
			copier.add(buffer[:n])
		}
		if readErr != nil {
			if half, ok := to.(*net.TCPConn); ok && errors.Is(readErr, io.EOF) {
				_ = half.CloseWrite() // an error means that the connection is closed already
				return
			}
			resetConn(to)
			return
		}
	}
}

// pass waits until a piece of data may pass in a direction, and returns false if it is lost.
func (l *link) pass(direction int) bool {
	silenced, counted := false, false
	for {
		l.mu.Lock()
		mode, changed, delay := l.modes[direction], l.changed, l.delay
		if mode != linkOpen && !counted {
			l.affected++
			counted = true
		}
		l.mu.Unlock()
		switch {
		case mode == linkReset || mode == linkOpen && silenced:
			return false
		case mode == linkOpen:
			time.Sleep(delay)
			return true
		case mode == linkSilent:
			silenced = true
		case mode == linkHeld:
		}
		<-changed
	}
}

// resetConn closes a connection so that the other end sees a reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // an error means that the connection is closed already
	}
	_ = c.Close()
}
