package emulator

import (
	"encoding/json"
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
// those of TCP and IP not.
type Traffic struct {
	Heartbeats, Commands atomic.Uint64
	Bytes                netcount.Counter // that workers sent and received
}

// LoopbackNetwork puts a fleet's workers on the network of this machine: each has a listener and a
// connection of its own.
type LoopbackNetwork struct {
	ControllerAddresses map[string]string // of the controllers, by host
	Traffic             Traffic
}

// UseNetwork has the fleet's workers use the network from now on. It must be called before the
// first machine is rented.
func (f *SimulatedCloud) UseNetwork(l *LoopbackNetwork) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loopback = l
}

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

// connection is a worker's connection to the controller that it reports to.
type connection struct {
	loopback *LoopbackNetwork

	mu     sync.Mutex
	host   string
	client *fasthttp.HostClient
}

func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
}

// dialTime is how long a worker tries to connect.
const dialTime = 2 * time.Second

// to returns the client for a controller: a worker that goes to another one closes the
// connection to the former.
func (c *connection) to(host string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil && c.host == host {
		return c.client
	}
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
	c.host = host
	c.client = &fasthttp.HostClient{Addr: c.loopback.ControllerAddresses[host], MaxConns: 1, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, ReadBufferSize: 2048, WriteBufferSize: 2048,
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp4", address, dialTime)
			if err != nil {
				return nil, err
			}
			return c.loopback.Traffic.Bytes.Conn(conn), nil
		}}
	return c.client
}

func (c *connection) report(host string, body []byte) (int, []byte, error) {
	client := c.to(host)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(http.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetRequestURI("http://" + client.Addr + "/v1/report")
	request.SetBodyRaw(body)
	c.loopback.Traffic.Heartbeats.Add(1)
	if err := client.DoTimeout(request, response, answerWait); err != nil {
		return 0, nil, fmt.Errorf("reporting to %s: %w", host, err)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

// listen opens the address at which a worker takes commands, and serve takes them until the
// machine ends.
func (u *SimulatedMachine) listen() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("an address for %s: %w", u.name, err)
	}
	u.address, u.listener = listener.Addr().String(), countedListener{listener, &u.fleet.loopback.Traffic}
	return nil
}

func (u *SimulatedMachine) serve() {
	server := &fasthttp.Server{Handler: u.handle, ReadBufferSize: 4096, WriteBufferSize: 2048, NoDefaultServerHeader: true, CloseOnShutdown: true}
	go func() { _ = server.Serve(u.listener) }()
	<-u.ctx.Done()
	_ = u.listener.Close()
	_ = server.Shutdown()
}

// doRequest is the body of a command sent straight to a worker.
type doRequest struct {
	Token   *uint64          `json:"baton"`
	Session *uint64          `json:"tenure"`
	Orders  []worker.Command `json:"orders"`
}

func (u *SimulatedMachine) handle(ctx *fasthttp.RequestCtx) {
	var (
		in       doRequest
		report   worker.Heartbeat
		executed = true
	)
	u.fleet.loopback.Traffic.Commands.Add(1)
	switch {
	case string(ctx.Path()) == "/status":
		u.fleet.mu.Lock()
		report = u.next()
		u.fleet.mu.Unlock()
	case json.Unmarshal(ctx.PostBody(), &in) != nil || in.Token == nil || in.Session == nil:
		ctx.SetStatusCode(http.StatusBadRequest)
		return
	default:
		var ok bool
		if report, executed, ok = u.execute(*in.Token, *in.Session, in.Orders); !ok {
			ctx.SetStatusCode(http.StatusServiceUnavailable)
			return
		}
	}
	if !executed {
		ctx.SetStatusCode(http.StatusConflict)
	}
	ctx.SetContentType("application/json")
	body, err := json.Marshal(report)
	if err != nil {
		ctx.SetStatusCode(http.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}
