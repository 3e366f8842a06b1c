package netcount

import (
	"io"
	"net"
	"testing"
)

// Bytes count on the side that counts, whatever the connection does with them: those of an
// incomplete read too, and none of one that fails.
func TestConnCountsBothDirections(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	var counter Counter
	conn := counter.Conn(near)
	go func() {
		io.CopyN(io.Discard, far, 5)
		far.Write([]byte("abc"))
	}()
	if _, err := conn.Write([]byte("12345")); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 100)); err != nil || n != 3 {
		t.Fatal(n, err)
	}
	conn.Close()
	if _, err := conn.Write([]byte("12345")); err == nil {
		t.Error("it writes to a closed connection")
	}
	if sent, received := counter.Sent.Load(), counter.Received.Load(); sent != 5 || received != 3 {
		t.Errorf("%d bytes sent, %d received", sent, received)
	}
}
