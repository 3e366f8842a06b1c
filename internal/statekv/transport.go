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

// request is a request to the state service.
type request struct {
	method string
	path   string
	body   any           // nil if there is none
	extra  time.Duration // time added to requestTimeout for requests that wait at the service
}

// call sends a request and decodes the response into out, unless out is nil.
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

// send sends a request. It returns the response if the request was carried out, or if it was
// rejected because a compare did not hold (status 409). All other responses are returned as errors.
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
			c.writes.recordRejection(time.Now())
		}
		slog.Debug("state request rejected", "method", req.method, "path", req.path, "status", response.Status)
		return response, fmt.Errorf("%w: %s %s: status %d", ErrRejected, req.method, req.path, response.Status)
	}
	return response, fmt.Errorf("%w: %s %s: status %d", ErrOutcomeUnknown, req.method, req.path, response.Status)
}

// badRequest returns the error for a request that the service rejected as malformed. A rejected
// transaction counts as too large, unless the response names a lease: then the transaction's lease
// has ended.
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
