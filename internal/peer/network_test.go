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

// Echo is a net/rpc service that answers, fails, or never answers.
type Echo struct {
	calls      atomic.Int64
	disconnect func()
}

// Say answers with its argument. The arguments refuse, disconnect and hang inject a fault instead.
func (e *Echo) Say(s string, reply *string) error {
	e.calls.Add(1)
	switch s {
	case "refuse":
		return errors.New("refused")
	case "disconnect":
		e.disconnect()
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

// serve runs a net/rpc server with the given services on a free port until the test ends.
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

// newNetwork returns the network of host-0 with one peer, host-1, at the given address.
func newNetwork(t *testing.T, address string) *Network {
	t.Helper()
	service := NewService("host-0", "b", nil)
	n := New("host-0", map[string]string{"host-1": address}, rpc.NewServer(), service)
	t.Cleanup(n.Close)
	return n
}

// A commit that a peer refused may be sent to the next candidate; a commit without an answer may
// not, because it may have been carried out. Guards against reporting one as the other, and against
// reuse of a connection on which a call hung.
func TestServiceErrorIsNotErrNoAnswer(t *testing.T) {
	n := newNetwork(t, serve(t, map[string]any{"Echo": &Echo{}}))
	var reply string
	if err := n.Call(t.Context(), "host-1", "Echo.Say", "refuse", &reply); err == nil || errors.Is(err, ErrNoAnswer) {
		t.Errorf("refused call: got %v, want an error that is not ErrNoAnswer", err)
	}
	if err := n.Call(t.Context(), "host-9", "Echo.Say", "x", &reply); err == nil || errors.Is(err, ErrNoAnswer) {
		t.Errorf("unknown peer: got %v, want an error that is not ErrNoAnswer", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var lateReply string
	if err := n.Call(ctx, "host-1", "Echo.Say", "hang", &lateReply); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("call that hangs: got %v, want ErrNoAnswer", err)
	}
	if err := n.Call(t.Context(), "host-1", "Echo.Say", "again", &reply); err != nil || reply != "again" {
		t.Errorf("next call: got reply %q, error %v; want \"again\" without an error", reply, err)
	}
}

// Guards against reporting a call as failed although its outcome is unknown, because the peer
// closed the connection before it answered.
func TestClosedConnectionReturnsErrNoAnswer(t *testing.T) {
	ln := listen(t)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		server := rpc.NewServer()
		_ = server.RegisterName("Echo", &Echo{disconnect: func() { conn.Close() }})
		server.ServeConn(conn)
	}()
	n := newNetwork(t, ln.Addr().String())
	var reply string
	if err := n.Call(t.Context(), "host-1", "Echo.Say", "disconnect", &reply); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("got %v, want ErrNoAnswer", err)
	}
}

// Guards against sending a call to a server that is not a controller: the handshake fails, so the
// call was certainly not carried out.
func TestFailedHandshakeSendsNoCall(t *testing.T) {
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
		t.Errorf("got %v, want an error that is not ErrNoAnswer", err)
	}
}

// Controllers of different builds use the methods that both implement. A method that the peer's
// handshake does not announce is not sent; a peer without handshakes rejects it by itself. In
// neither case may the error say that the call may have been carried out.
func TestUnknownMethodOfOtherBuild(t *testing.T) {
	for name, hasHandshake := range map[string]bool{"peer with handshake": true, "peer without handshake": false} {
		echo := &Echo{}
		services := map[string]any{"Echo": echo}
		if hasHandshake {
			services["Peer"] = NewService("host-1", "other", services)
		}
		n := newNetwork(t, serve(t, services))
		var reply string
		err := n.Call(t.Context(), "host-1", "Echo.Shout", "x", &reply)
		if !errors.Is(err, ErrUnknownMethod) || errors.Is(err, ErrNoAnswer) {
			t.Errorf("%s: got %v, want ErrUnknownMethod and not ErrNoAnswer", name, err)
		}
		err = n.Call(t.Context(), "host-1", "Echo.Say", "x", &reply)
		if err != nil || reply != "x" || echo.calls.Load() != 1 {
			t.Errorf("%s: call of a common method: got reply %q, error %v, or a second call arrived", name, reply, err)
		}
	}
}

// Guards against connections of a controller to itself: its own calls are counted, but send no
// bytes over the network.
func TestLocalCallsUseNoConnection(t *testing.T) {
	server := rpc.NewServer()
	if err := server.RegisterName("Echo", &Echo{}); err != nil {
		t.Fatal(err)
	}
	n := New("host-0", nil, server, NewService("host-0", "b", nil))
	defer n.Close()
	var reply string
	if err := n.Call(t.Context(), "host-0", "Echo.Say", "x", &reply); err != nil || reply != "x" {
		t.Errorf("got reply %q, error %v; want \"x\" without an error", reply, err)
	}
	traffic := n.Traffic()
	if traffic.Sent != 0 || traffic.Received != 0 || traffic.Calls["Echo.Say"] != 1 {
		t.Errorf("got %+v, want one call of Echo.Say and no bytes", traffic)
	}
}
