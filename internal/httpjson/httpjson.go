// Package httpjson makes JSON requests over HTTP with a deadline on each.
//
// It owns a pool of connections (Client), which guards itself. It imports no other package of
// this program, and knows nothing of the services that it asks.
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
	// maxDialTimeout bounds the dialling of a host, within the time of its request.
	maxDialTimeout = time.Second
	// maxResponseBytes bounds the body of an answer that is read into memory.
	maxResponseBytes = 64 << 20
)

// Client sends JSON requests over pooled connections. It never repeats a request by itself: only
// the caller knows what an unanswered one means.
type Client struct {
	http    *fasthttp.Client
	timeout time.Duration
}

// New returns a client whose requests take at most timeout each, over at most perHost
// connections to each host, which are closed once idle for so long.
func New(timeout time.Duration, perHost int, idle time.Duration) *Client {
	dialer := net.Dialer{Timeout: min(timeout, maxDialTimeout)}
	return &Client{timeout: timeout, http: &fasthttp.Client{
		MaxConnsPerHost:               perHost,
		MaxIdleConnDuration:           idle,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
		MaxResponseBodySize:           maxResponseBytes,
		Dial: func(address string) (net.Conn, error) {
			// The connection goes to the pool, so the dialling is no single request's.
			return dialer.DialContext(context.Background(), "tcp4", address)
		},
	}}
}

// Response is the status and body of an answer.
type Response struct {
	Status int
	Body   []byte
}

// Decode reads the body into out.
func (r Response) Decode(out any) error {
	if err := json.Unmarshal(r.Body, out); err != nil {
		return fmt.Errorf("decoding answer with status %d: %w", r.Status, err)
	}
	return nil
}

// Do sends one request, with in as its JSON body unless that is nil. An error means that no
// answer came, so the request may or may not have been carried out, now or later. extra prolongs
// the time allowed, for requests that wait at the server.
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
