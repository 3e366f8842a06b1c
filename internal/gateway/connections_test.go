package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp/fasthttputil"

	"robinstack/emulator"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
)

// The workers' connections must leave capacity for the load balancer's probes. When half of the
// sockets of a controller was the limit for served connections, the workers of 3,700 machines on
// three controllers needed more than that: probes were rejected, and for two minutes users reached no
// controller although all were healthy.
func TestWorkerConnectionsLeaveCapacityForProbes(t *testing.T) {
	settings := &config.Settings{Host: "host-0", MaxConnections: 200}
	g := New(settings, emulator.NewStateService(), &cloud.Catalogue{}, noPauses)
	listener := fasthttputil.NewInmemoryListener()
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- g.Serve(ctx, listener) }()
	defer func() {
		cancel()
		<-served
	}()
	var open []net.Conn
	for n := range 140 {
		conn, err := listener.Dial()
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, conn)
		if _, err := fmt.Fprint(conn, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatalf("connection %d: %v", n, err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("connection %d: %v", n, err)
		}
		if response.Close || response.Header.Get("Content-Type") != "application/json" {
			t.Fatalf("connection %d was not served: %s %v", n, response.Status, response.Header)
		}
	}
	for _, conn := range open {
		conn.Close()
	}
}
