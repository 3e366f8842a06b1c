package netcount

import (
	"io"
	"net"
	"testing"
)

// Only the bytes that a call transferred count: all bytes of a read that fills its buffer only
// partly, and none of a write that fails.
func TestConnCountsBothDirections(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	var counter Counter
	conn := counter.WrapConn(local)
	go func() {
		io.CopyN(io.Discard, remote, 5)
		remote.Write([]byte("abc"))
	}()
	if _, err := conn.Write([]byte("12345")); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 100)); err != nil || n != 3 {
		t.Fatalf("got %d bytes, error %v; want 3 bytes", n, err)
	}
	conn.Close()
	if _, err := conn.Write([]byte("12345")); err == nil {
		t.Error("Write to a closed connection succeeded")
	}
	if sent, received := counter.Sent.Load(), counter.Received.Load(); sent != 5 || received != 3 {
		t.Errorf("got %d bytes sent and %d received, want 5 and 3", sent, received)
	}
}
