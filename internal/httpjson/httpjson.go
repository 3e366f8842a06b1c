// Package httpjson sends JSON requests over HTTP, each with a deadline.
//
// A Client owns a connection pool and is safe for concurrent use. The package imports no other
// package of the module and does not depend on the services that receive the requests.
package httpjson

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"
)

const (
	// maxDialTimeout bounds the time to connect to a host. A shorter request timeout takes precedence.
	maxDialTimeout = time.Second
	// maxResponseBytes bounds the response body that is read into memory.
	maxResponseBytes = 64 << 20
)

// Client sends JSON requests over pooled connections. It never retries a request: only the caller
// knows whether a request that got no response may be sent again.
type Client struct {
	http    *fasthttp.Client
	timeout time.Duration
}

// New returns a client that allows timeout for each request, opens at most maxConnsPerHost
// connections to a host, and closes a connection that has been idle for idleTimeout.
func New(timeout time.Duration, maxConnsPerHost int, idleTimeout time.Duration) *Client {
	dialer := net.Dialer{Timeout: min(timeout, maxDialTimeout)}
	return &Client{timeout: timeout, http: &fasthttp.Client{
		MaxConnsPerHost:               maxConnsPerHost,
		MaxIdleConnDuration:           idleTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
		MaxResponseBodySize:           maxResponseBytes,
		Dial: func(address string) (net.Conn, error) {
			// The connection goes to the pool, so the context of a single request must not end the
			// dial.
			return dialer.DialContext(context.Background(), "tcp4", address)
		},
	}}
}

// Response is the status code and the body of an HTTP response.
type Response struct {
	Status int
	Body   []byte
}

// Decode decodes the JSON body into out.
func (r Response) Decode(out any) error {
	if err := json.Unmarshal(r.Body, out); err != nil {
		return fmt.Errorf("decoding response with status %d: %w", r.Status, err)
	}
	return nil
}

// Do sends one request, with in as its JSON body unless in is nil. An error means that no complete
// response arrived. Unless ctx had already ended or in could not be encoded, the server may have
// carried out the request, or may yet do so. extra is added to the client's timeout, for requests
// that the server holds open.
func (c *Client) Do(ctx context.Context, method, url string, in any, extra time.Duration) (Response, error) {
	deadline := time.Now().Add(c.timeout + extra)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := ctx.Err(); err != nil {
		return Response{}, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return Response{}, fmt.Errorf("encoding request: %w", err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return Response{}, fmt.Errorf("%s %s: %w", method, url, err)
	}
	return Response{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}, nil
}
