package statekv

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"robinstack/internal/httpjson"
)

// txnPath is the path of transactions, the only requests that may be too large.
const txnPath = "/txn"

// request is one request to the state service.
type request struct {
	method string
	path   string
	body   any           // nil: none
	extra  time.Duration // that it may take beyond requestTimeout, for it waits at the service
}

// call sends a request and decodes its answer into out, unless that is nil.
func (c *Client) call(ctx context.Context, req request, out any) error {
	response, err := c.send(ctx, req)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := response.Decode(out); err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil
}

// send sends a request and returns the answer of one that was carried out, or that was refused
// because a compare did not hold (409). What every other answer means is said by the error.
func (c *Client) send(ctx context.Context, req request) (httpjson.Response, error) {
	response, err := c.http.Do(ctx, req.method, c.base+req.path, req.body, req.extra)
	if err != nil {
		return response, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch response.Status {
	case http.StatusOK, http.StatusConflict:
		return response, nil
	case http.StatusNotFound:
		return response, ErrNotFound
	case http.StatusGone:
		return response, ErrCompacted
	case http.StatusBadRequest:
		return response, badRequest(req, response)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if response.Status == http.StatusTooManyRequests && req.path == txnPath {
			c.writes.noteRejection(time.Now())
		}
		slog.Debug("state request rejected", "method", req.method, "path", req.path, "status", response.Status)
		return response, fmt.Errorf("%w: %s %s: status %d", ErrRejected, req.method, req.path, response.Status)
	}
	return response, fmt.Errorf("%w: %s %s: status %d", ErrOutcomeUnknown, req.method, req.path, response.Status)
}

// badRequest is the error of a request that was answered as malformed. A transaction is taken
// for too large, unless the answer names a lease: that is one which has ended.
func badRequest(req request, response httpjson.Response) error {
	if req.path != txnPath {
		return fmt.Errorf("%w: %s %s: status %d", ErrRejected, req.method, req.path, response.Status)
	}
	var reason struct {
		Error string `json:"error"`
	}
	if response.Decode(&reason) != nil || !strings.Contains(reason.Error, "lease") {
		return fmt.Errorf("%w: %s", ErrTooLarge, reason.Error)
	}
	return fmt.Errorf("%w: %s %s: %s", ErrRejected, req.method, req.path, reason.Error)
}
