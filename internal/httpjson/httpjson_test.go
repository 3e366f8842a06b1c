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

// serve answers the first bytes on each connection with response and closes the connection.
// requests counts the connections on which a request arrived.
func serve(t *testing.T, response string) (address string, requests *atomic.Int64) {
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
			conn.Write([]byte(response))
			conn.Close()
		}
	}()
	return ln.Addr().String(), requests
}

// Guards against incomplete responses that are taken for complete ones, and against automatic
// retries, by which the server could carry out a transaction or start a task twice.
func TestIncompleteResponseIsErrorAndNotRetried(t *testing.T) {
	for name, response := range map[string]string{
		"closed without a response": "",
		"truncated header":          "HTTP/1.1 200 OK\r\nContent-Le",
		"truncated body":            "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"a\":",
		"not HTTP":                  "220 mail.example.org ready\r\n",
		"body above the size limit": "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{",
	} {
		address, requests := serve(t, response)
		client := New(5*time.Second, 2, time.Minute)
		_, err := client.Do(t.Context(), http.MethodPost, "http://"+address+"/txn", map[string]int{"a": 1}, 0)
		if err == nil || requests.Load() != 1 {
			t.Errorf("%s: got error %v after %d requests, want an error after 1", name, err, requests.Load())
		}
	}
}

func TestDecodeErrorNamesStatus(t *testing.T) {
	address, _ := serve(t, "HTTP/1.1 409 Conflict\r\nContent-Length: 5\r\n\r\n{\"a\":")
	r, err := New(5*time.Second, 2, time.Minute).Do(t.Context(), http.MethodGet, "http://"+address, nil, 0)
	if err != nil || r.Status != http.StatusConflict {
		t.Fatalf("got response %v, error %v; want status 409", r, err)
	}
	var out map[string]int
	if err := r.Decode(&out); err == nil || !strings.Contains(err.Error(), "409") {
		t.Fatalf("got error %v, want one that contains 409", err)
	}
}

// Guards against sending a request whose context has already ended.
func TestCancelledRequestIsNotSent(t *testing.T) {
	address, requests := serve(t, "")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := New(time.Second, 2, time.Minute).Do(ctx, http.MethodGet, "http://"+address, nil, 0)
	if err == nil || requests.Load() != 0 {
		t.Fatalf("got error %v after %d requests, want an error after 0", err, requests.Load())
	}
}
