package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"
)

// Echo is a service that answers, fails, or never answers.
type Echo struct {
	calls atomic.Int64
	cut   func()
}

// Say answers with its argument, unless that is a word for a fault.
func (e *Echo) Say(s string, reply *string) error {
	e.calls.Add(1)
	switch s {
	case "refuse":
		return errors.New("refused")
	case "cut":
		e.cut()
		select {}
	case "hang":
		select {}
	}
	*reply = s
	return nil
}

// listen returns a listener on a free port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// serve has a controller answer on a free port until the test ends.
func serve(t *testing.T, services map[string]any) (address string) {
	t.Helper()
	ln := listen(t)
	server := rpc.NewServer()
	for name, service := range services {
		if err := server.RegisterName(name, service); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go Serve(ctx, ln, server)
	return ln.Addr().String()
}

// newNetwork returns the network of host-0, whose only peer, host-1, is at an address.
func newNetwork(t *testing.T, address string) *Network {
	t.Helper()
	service := NewService("host-0", "b", nil)
	n := New("host-0", map[string]string{"host-1": address}, rpc.NewServer(), service)
	t.Cleanup(n.Close)
	return n
}

// A commit that was refused may go to the next candidate, one without an answer may not: the two
// must never be mixed up. After a call that hung, the next one gets a connection of its own.
func TestServiceErrorIsNotAMissingAnswer(t *testing.T) {
	n := newNetwork(t, serve(t, map[string]any{"Echo": &Echo{}}))
	var reply string
	if err := n.Call(t.Context(), "host-1", "Echo.Say", "refuse", &reply); err == nil || errors.Is(err, ErrNoAnswer) {
		t.Errorf("refused: %v", err)
	}
	if err := n.Call(t.Context(), "host-9", "Echo.Say", "x", &reply); err == nil || errors.Is(err, ErrNoAnswer) {
		t.Errorf("unknown peer: %v", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var never string
	if err := n.Call(ctx, "host-1", "Echo.Say", "hang", &never); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("hung: %v", err)
	}
	if err := n.Call(t.Context(), "host-1", "Echo.Say", "again", &reply); err != nil || reply != "again" {
		t.Errorf("after that: %q %v", reply, err)
	}
}

// A peer that closes in the midst of a call leaves it open whether it was carried out.
func TestCutConnectionLeavesTheOutcomeOpen(t *testing.T) {
	ln := listen(t)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		server := rpc.NewServer()
		_ = server.RegisterName("Echo", &Echo{cut: func() { conn.Close() }})
		server.ServeConn(conn)
	}()
	n := newNetwork(t, ln.Addr().String())
	var reply string
	if err := n.Call(t.Context(), "host-1", "Echo.Say", "cut", &reply); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("cut: %v", err)
	}
}

// With one that is no controller, no call is ever begun.
func TestForeignServerIsNotCalled(t *testing.T) {
	ln := listen(t)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		conn.Read(make([]byte, 1024))
		conn.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		conn.Close()
	}()
	n := newNetwork(t, ln.Addr().String())
	var reply string
	if err := n.Call(t.Context(), "host-1", "Echo.Say", "x", &reply); err == nil || errors.Is(err, ErrNoAnswer) {
		t.Errorf("malformed: %v", err)
	}
}

// Of two versions each calls what both know. A peer with handshakes is not even asked for what
// it does not know; one of the time before there were any says so itself. In neither case is the
// call taken for one that may have been carried out.
func TestVersionsCallWhatBothKnow(t *testing.T) {
	for name, handshakes := range map[string]bool{"a version with handshakes": true, "one without": false} {
		echo := &Echo{}
		services := map[string]any{"Echo": echo}
		if handshakes {
			services["Peer"] = NewService("host-1", "other", services)
		}
		n := newNetwork(t, serve(t, services))
		var reply string
		err := n.Call(t.Context(), "host-1", "Echo.Shout", "x", &reply)
		if !errors.Is(err, ErrUnknownMethod) || errors.Is(err, ErrNoAnswer) {
			t.Errorf("%s: %v", name, err)
		}
		err = n.Call(t.Context(), "host-1", "Echo.Say", "x", &reply)
		if err != nil || reply != "x" || echo.calls.Load() != 1 {
			t.Errorf("%s: a call that both know: %q %v", name, reply, err)
		}
	}
}

// Calls of a controller to itself are answered without a connection, and count as calls alone.
func TestOwnServicesAreCalledWithoutAConnection(t *testing.T) {
	server := rpc.NewServer()
	if err := server.RegisterName("Echo", &Echo{}); err != nil {
		t.Fatal(err)
	}
	n := New("host-0", nil, server, NewService("host-0", "b", nil))
	defer n.Close()
	var reply string
	if err := n.Call(t.Context(), "host-0", "Echo.Say", "x", &reply); err != nil || reply != "x" {
		t.Errorf("%q %v", reply, err)
	}
	traffic := n.Traffic()
	if traffic.Sent != 0 || traffic.Received != 0 || traffic.Calls["Echo.Say"] != 1 {
		t.Errorf("%+v", traffic)
	}
}
