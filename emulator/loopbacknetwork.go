package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"robinstack/internal/netcount"
	"robinstack/internal/worker"
)

// Traffic counts what passes between workers and controllers, HTTP headers included and
// those of TCP and IP not. Safe for use from several goroutines.
type Traffic struct {
	Heartbeats, Commands atomic.Uint64
	Bytes                netcount.Counter // that workers sent and received
}

// LoopbackNetwork puts a cloud's workers on the network of this machine: each has a listener
// and a connection of its own.
type LoopbackNetwork struct {
	ControllerAddresses map[string]string // by host
	Traffic             Traffic
}

// UseNetwork has the cloud's workers use the network from now on. It must be called before
// the first machine is rented.
func (c *SimulatedCloud) UseNetwork(n *LoopbackNetwork) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.network = n
}

// countedListener counts what passes over the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.Bytes.Conn(conn), nil
}

// loopbackTransport is a worker's connection to the controller that gets its heartbeats.
type loopbackTransport struct {
	ctx     context.Context // ends with the machine
	network *LoopbackNetwork

	mu     sync.Mutex // guards host and client
	host   string
	client *fasthttp.HostClient
}

func (t *loopbackTransport) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.client != nil {
		t.client.CloseIdleConnections()
	}
}

// dialTimeout is how long a worker tries to connect.
const dialTimeout = 2 * time.Second

// Thousands of workers are in one process: their buffers, in bytes, hold a heartbeat or
// some commands and little more.
const (
	heartbeatBufferBytes = 2048
	commandBufferBytes   = 4096
)

// clientOf returns the client for a controller: a worker that goes to another one closes
// the connection to the former.
func (t *loopbackTransport) clientOf(host string) *fasthttp.HostClient {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.client != nil && t.host == host {
		return t.client
	}
	if t.client != nil {
		t.client.CloseIdleConnections()
	}
	t.host = host
	t.client = &fasthttp.HostClient{
		Addr:                      t.network.ControllerAddresses[host],
		MaxConns:                  1,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		ReadBufferSize:            heartbeatBufferBytes,
		WriteBufferSize:           heartbeatBufferBytes,
		Dial:                      t.dial,
	}
	return t.client
}

func (t *loopbackTransport) dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(t.ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return t.network.Traffic.Bytes.Conn(conn), nil
}

func (t *loopbackTransport) send(_ context.Context, host string, body []byte) (int, []byte, error) {
	client := t.clientOf(host)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(http.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetRequestURI("http://" + client.Addr + heartbeatPath)
	request.SetBodyRaw(body)
	t.network.Traffic.Heartbeats.Add(1)
	if err := client.DoTimeout(request, response, heartbeatTimeout); err != nil {
		return 0, nil, fmt.Errorf("sending a heartbeat to %s: %w", host, err)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

// listen opens the address at which a worker takes commands.
func (m *SimulatedMachine) listen() error {
	var config net.ListenConfig
	listener, err := config.Listen(m.ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("opening an address for %s: %w", m.name, err)
	}
	m.address = listener.Addr().String()
	m.listener = countedListener{listener, &m.cloud.network.Traffic}
	return nil
}

// serveCommands takes commands until the machine ends.
func (m *SimulatedMachine) serveCommands() {
	server := &fasthttp.Server{
		Handler:               m.handleCommand,
		ReadBufferSize:        commandBufferBytes,
		WriteBufferSize:       heartbeatBufferBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	go func() { _ = server.Serve(m.listener) }() // it ends with the listener
	<-m.ctx.Done()
	_ = m.listener.Close()
	_ = server.Shutdown()
}

// Paths of a worker.
const (
	statusPath  = "/status"
	commandPath = "/do"
)

// commandRequest is the body of commands sent straight to a worker.
type commandRequest struct {
	Token    *uint64          `json:"baton"`
	Epoch    *uint64          `json:"tenure"`
	Commands []worker.Command `json:"orders"`
}

// errMalformedCommands says that a body is none of commands.
var errMalformedCommands = errors.New("malformed commands")

// parseCommands reads a body of commands; all of its fields but the commands must be there.
func parseCommands(body []byte) (*commandRequest, error) {
	var in commandRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedCommands, err)
	}
	if in.Token == nil || in.Epoch == nil {
		return nil, errMalformedCommands
	}
	return &in, nil
}

func (m *SimulatedMachine) handleCommand(ctx *fasthttp.RequestCtx) {
	m.cloud.network.Traffic.Commands.Add(1)
	if string(ctx.Path()) == statusPath {
		m.cloud.mu.Lock()
		heartbeat := m.nextHeartbeat()
		m.cloud.mu.Unlock()
		respondHeartbeat(ctx, http.StatusOK, heartbeat)
		return
	}
	in, err := parseCommands(ctx.PostBody())
	if err != nil {
		ctx.SetStatusCode(http.StatusBadRequest)
		return
	}
	heartbeat, executed, ok := m.execute(*in.Token, *in.Epoch, in.Commands)
	switch {
	case !ok:
		ctx.SetStatusCode(http.StatusServiceUnavailable)
	case !executed:
		respondHeartbeat(ctx, http.StatusConflict, heartbeat)
	default:
		respondHeartbeat(ctx, http.StatusOK, heartbeat)
	}
}

func respondHeartbeat(ctx *fasthttp.RequestCtx, status int, h worker.Heartbeat) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	body, err := json.Marshal(h)
	if err != nil {
		ctx.SetStatusCode(http.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}
