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

// Traffic counts the traffic between workers and controllers. Bytes include HTTP headers but not
// TCP and IP headers. It is safe for concurrent use.
type Traffic struct {
	Heartbeats, Commands atomic.Uint64
	Bytes                netcount.Counter // sent and received by workers
}

// LoopbackNetwork connects the workers of a SimulatedCloud to controllers over the loopback
// interface. Each worker has its own listener and its own connection to a controller.
type LoopbackNetwork struct {
	ControllerAddresses map[string]string // by host
	Traffic             Traffic
}

// UseNetwork connects workers through n instead of in-process calls. It must be called before the
// first machine is created.
func (c *SimulatedCloud) UseNetwork(n *LoopbackNetwork) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.network = n
}

// countedListener counts the traffic of the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.Bytes.WrapConn(conn), nil
}

// loopbackTransport sends a worker's heartbeats over TCP. It keeps one connection, to the
// controller that received the last heartbeat.
type loopbackTransport struct {
	ctx     context.Context // ends when the machine stops
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

// dialTimeout limits how long a worker waits for a connection to a controller.
const dialTimeout = 2 * time.Second

// Buffer sizes of HTTP clients and servers. They are just large enough for a heartbeat or a few
// commands, because thousands of workers run in one process.
const (
	heartbeatBufferBytes = 2048
	commandBufferBytes   = 4096
)

// clientFor returns the HTTP client for a controller. If the last heartbeat went to another
// controller, it closes the connection to that one.
func (t *loopbackTransport) clientFor(host string) *fasthttp.HostClient {
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
	return t.network.Traffic.Bytes.WrapConn(conn), nil
}

func (t *loopbackTransport) send(_ context.Context, host string, body []byte) (int, []byte, error) {
	client := t.clientFor(host)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(http.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetRequestURI("http://" + client.Addr + heartbeatPath)
	request.SetBodyRaw(body)
	t.network.Traffic.Heartbeats.Add(1)
	if err := client.DoTimeout(request, response, heartbeatTimeout); err != nil {
		return 0, nil, fmt.Errorf("sending heartbeat to %s: %w", host, err)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

// listen opens the listener on which the worker receives direct commands.
func (m *SimulatedMachine) listen() error {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(m.ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("opening listener for commands to %s: %w", m.name, err)
	}
	m.address = listener.Addr().String()
	m.listener = countedListener{listener, &m.cloud.network.Traffic}
	return nil
}

// serveCommands serves direct commands until the machine stops.
func (m *SimulatedMachine) serveCommands() {
	server := &fasthttp.Server{
		Handler:               m.handleCommand,
		ReadBufferSize:        commandBufferBytes,
		WriteBufferSize:       heartbeatBufferBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	go func() { _ = server.Serve(m.listener) }() // returns when the listener is closed
	<-m.ctx.Done()
	_ = m.listener.Close()
	_ = server.Shutdown()
}

// HTTP paths that a worker serves.
const (
	statusPath  = "/status"
	commandPath = "/do"
)

// commandRequest is the body of a request with direct commands to a worker.
type commandRequest struct {
	Token    *uint64          `json:"baton"`
	Epoch    *uint64          `json:"tenure"`
	Commands []worker.Command `json:"orders"`
}

// errMalformedCommands means that a request body does not contain valid commands.
var errMalformedCommands = errors.New("malformed command request")

// parseCommands parses the body of a command request. The fencing token and the worker epoch are
// required; the list of commands may be missing.
func parseCommands(body []byte) (*commandRequest, error) {
	var request commandRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedCommands, err)
	}
	if request.Token == nil || request.Epoch == nil {
		return nil, fmt.Errorf("%w: fencing token or worker epoch missing", errMalformedCommands)
	}
	return &request, nil
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
	request, err := parseCommands(ctx.PostBody())
	if err != nil {
		ctx.SetStatusCode(http.StatusBadRequest)
		return
	}
	if !m.receivesCommands() {
		ctx.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	heartbeat, executed, ok := m.execute(*request.Token, *request.Epoch, request.Commands)
	switch {
	case !ok:
		ctx.SetStatusCode(http.StatusServiceUnavailable)
	case !executed:
		respondHeartbeat(ctx, http.StatusConflict, heartbeat)
	default:
		respondHeartbeat(ctx, http.StatusOK, heartbeat)
	}
}

// receivesCommands delays a request with direct commands by CommandDelay, and reports whether it
// reaches the worker. A lost request gets no response within the client's time-out.
func (m *SimulatedMachine) receivesCommands() bool {
	m.cloud.mu.Lock()
	lost, delay := m.InboundLost || m.CommandsLost, m.CommandDelay
	m.cloud.mu.Unlock()
	if lost {
		Sleep(m.ctx, 2*clientTimeout)
		return false
	}
	return delay == 0 || Sleep(m.ctx, delay)
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
