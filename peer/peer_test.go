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
type Echo struct{ calls atomic.Int64 }

func (e *Echo) Say(s string, reply *string) error {
	e.calls.Add(1)
	switch s {
	case "refuse":
		return errors.New("refused")
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
	n := New("host-0", map[string]string{"host-1": ln.Addr().String()}, rpc.NewServer())
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

// A peer that closes in the midst of a call, or answers with what is no RPC, leaves
// it open whether the call was carried out.
func TestCutAndMalformedAnswers(t *testing.T) {
	for name, answer := range map[string]string{"cut": "", "malformed": "HTTP/1.1 400 Bad Request\r\n\r\n"} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conn.Read(make([]byte, 1024))
			conn.Write([]byte(answer))
			conn.Close()
		}()
		n := New("host-0", map[string]string{"host-1": ln.Addr().String()}, rpc.NewServer())
		var reply string
		if err := n.Call(t.Context(), "host-1", "Echo.Say", "x", &reply); !errors.Is(err, ErrNoAnswer) {
			t.Errorf("%s: %v", name, err)
		}
		n.Close()
		ln.Close()
	}
}
