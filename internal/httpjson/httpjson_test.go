package httpjson

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// serve answers every connection with raw bytes and closes it; requests counts them.
func serve(t *testing.T, answer string) (address string, requests *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests = &atomic.Int64{}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096)
			if n, _ := conn.Read(buf); n > 0 {
				requests.Add(1)
			}
			conn.Write([]byte(answer))
			conn.Close()
		}
	}()
	return ln.Addr().String(), requests
}

// What is no whole answer is an error, and is never asked again by itself: a transaction or a
// start that was repeated could be carried out twice.
func TestBrokenAnswersAreErrorsAndNotRepeated(t *testing.T) {
	for name, answer := range map[string]string{
		"closed without an answer": "",
		"cut in the head":          "HTTP/1.1 200 OK\r\nContent-Le",
		"cut in the body":          "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"a\":",
		"no HTTP":                  "220 mail.example.org ready\r\n",
		"larger than is taken":     "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{",
	} {
		address, requests := serve(t, answer)
		client := New(5*time.Second, 2, time.Minute)
		_, err := client.Do(t.Context(), http.MethodPost, "http://"+address+"/txn", map[string]int{"a": 1}, 0)
		if err == nil || requests.Load() != 1 {
			t.Errorf("%s: error %v after %d requests", name, err, requests.Load())
		}
	}
}

func TestMalformedBodyNamesTheStatus(t *testing.T) {
	address, _ := serve(t, "HTTP/1.1 409 Conflict\r\nContent-Length: 5\r\n\r\n{\"a\":")
	r, err := New(5*time.Second, 2, time.Minute).Do(t.Context(), http.MethodGet, "http://"+address, nil, 0)
	if err != nil || r.Status != http.StatusConflict {
		t.Fatal(r, err)
	}
	var out map[string]int
	if err := r.Decode(&out); err == nil || !strings.Contains(err.Error(), "409") {
		t.Fatalf("%v", err)
	}
}

// A caller that has given up already sends nothing.
func TestCancelledRequestIsNotSent(t *testing.T) {
	address, requests := serve(t, "")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := New(time.Second, 2, time.Minute).Do(ctx, http.MethodGet, "http://"+address, nil, 0)
	if err == nil || requests.Load() != 0 {
		t.Fatalf("error %v after %d requests", err, requests.Load())
	}
}
