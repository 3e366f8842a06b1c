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

// Echo is a service that answers, refuses, or never answers.
type Echo struct {
	calls atomic.Int64
	cut   func()
}

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

func listen(t *testing.T, echo *Echo) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer()
	if err := server.RegisterName("Echo", echo); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go Serve(ctx, ln, server)
	return ln
}

// A commit that was refused may go to the next candidate, one without an answer
// may not: the two must never be mixed up. After a call that hung, the next one
// gets a connection of its own.
func TestRefusedIsNotUnanswered(t *testing.T) {
	ln := listen(t, &Echo{})
	n := New("host-0", map[string]string{"host-1": ln.Addr().String()}, rpc.NewServer(), NewService("host-0", "b", nil))
	defer n.Close()
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

// A peer that closes in the midst of a call leaves it open whether it was carried out;
// with one that is none, no call is ever begun.
func TestCutAndMalformedAnswers(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		server := rpc.NewServer()
		_ = server.RegisterName("Echo", &Echo{cut: func() { conn.Close() }})
		server.ServeConn(conn)
	}()
	n := New("host-0", map[string]string{"host-1": ln.Addr().String()}, rpc.NewServer(), NewService("host-0", "b", nil))
	defer n.Close()
	var reply string
	if err := n.Call(t.Context(), "host-1", "Echo.Say", "cut", &reply); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("cut: %v", err)
	}

	stranger, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	go func() {
		conn, err := stranger.Accept()
		if err != nil {
			return
		}
		conn.Read(make([]byte, 1024))
		conn.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		conn.Close()
	}()
	n = New("host-0", map[string]string{"host-1": stranger.Addr().String()}, rpc.NewServer(), NewService("host-0", "b", nil))
	defer n.Close()
	if err := n.Call(t.Context(), "host-1", "Echo.Say", "x", &reply); err == nil || errors.Is(err, ErrNoAnswer) {
		t.Errorf("malformed: %v", err)
	}
}

// Of two versions each calls what both know. A peer that greets is not even asked for
// what it does not know; one of the time before there were greetings says so itself. In
// neither case is the call taken for one that may have been carried out.
func TestVersionsAgreeOnCalls(t *testing.T) {
	for name, greets := range map[string]bool{"a version that greets": true, "one that does not": false} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		echo, server := &Echo{}, rpc.NewServer()
		services := map[string]any{"Echo": echo}
		if greets {
			services["Peer"] = NewService("host-1", "other", services)
		}
		for name, service := range services {
			if err := server.RegisterName(name, service); err != nil {
				t.Fatal(err)
			}
		}
		go Serve(t.Context(), ln, server)
		n := New("host-0", map[string]string{"host-1": ln.Addr().String()}, rpc.NewServer(), NewService("host-0", "b", nil))
		defer n.Close()
		var reply string
		if err := n.Call(t.Context(), "host-1", "Echo.Shout", "x", &reply); !errors.Is(err, ErrUnknownMethod) || errors.Is(err, ErrNoAnswer) {
			t.Errorf("%s: %v", name, err)
		}
		if err := n.Call(t.Context(), "host-1", "Echo.Say", "x", &reply); err != nil || reply != "x" || echo.calls.Load() != 1 {
			t.Errorf("%s: a call that both know: %q %v", name, reply, err)
		}
	}
}
