package statekv

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"robinstack/internal/httpjson"
)

// Limits of the connections to the state service.
const (
	// requestTimeout bounds a request that does not wait at the service.
	requestTimeout = 1500 * time.Millisecond
	// listTimeout is added to requestTimeout for each page of a listing.
	listTimeout = time.Second
	// maxConnections is the largest number of connections in use at the same time.
	maxConnections = 64
	// idleConnectionTimeout is how long an unused connection stays open.
	idleConnectionTimeout = 20 * time.Second
)

// pageSize is the largest number of keys on one page of a listing.
const pageSize = "500"

// Client implements Store over HTTP. It stays within this controller's share of the service's rate
// limits.
type Client struct {
	base     string
	http     *httpjson.Client
	limits   requestLimits
	writes   *WriteBudget
	txnLimit txnSizeLimit
}

var _ Store = (*Client)(nil)

// NewClient returns a client that uses this controller's share of the given limits on requests and
// changes per second, which apply to all controllers together. Lease operations and watches are not
// limited: they must never wait.
func NewClient(address string, requests, changes float64, controllers int) *Client {
	c := &Client{
		base:   "http://" + address,
		http:   httpjson.New(requestTimeout, maxConnections, idleConnectionTimeout),
		writes: newWriteBudget(changes, controllers),
		limits: requestLimits{perSecond: requests, requests: rate.NewLimiter(1, 1)},
	}
	for class := range c.limits.classes {
		c.limits.classes[class] = rate.NewLimiter(1, classBurst)
	}
	c.SetControllerCount(controllers)
	return c
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (KV, error) {
	var kv KV
	if err := c.paceRequest(ctx); err != nil {
		return kv, err
	}
	err := c.call(ctx, request{method: http.MethodGet, path: "/keys/" + key}, &kv)
	return kv, err
}

// List reads one page of the keys under prefix, in order. If after is not empty, the page begins
// with the next key behind it.
func (c *Client) List(ctx context.Context, prefix, after string) (Page, error) {
	var page Page
	if err := c.paceRequest(ctx); err != nil {
		return page, err
	}
	query := url.Values{"prefix": {prefix}, "page": {pageSize}}
	if after != "" {
		query.Set("since", after)
	}
	err := c.call(ctx, request{method: http.MethodGet, path: "/keys?" + query.Encode(), extra: listTimeout}, &page)
	return page, err
}

// Grant obtains a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var out struct {
		Grant uint64 `json:"grant"`
	}
	body := map[string]int64{"ttl_ms": ttl.Milliseconds()}
	err := c.call(ctx, request{method: http.MethodPost, path: "/grants", body: body}, &out)
	return out.Grant, err
}

// Renew renews a lease.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	return c.call(ctx, request{method: http.MethodPost, path: fmt.Sprintf("/grants/%d/extend", lease)}, nil)
}

// Revoke ends a lease immediately.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	return c.call(ctx, request{method: http.MethodDelete, path: fmt.Sprintf("/grants/%d", lease)}, nil)
}

// Watch waits, for at most block, until a key under prefix changes at a revision later than since.
func (c *Client) Watch(
	ctx context.Context, prefix string, since uint64, block time.Duration,
) (WatchResponse, error) {
	var response WatchResponse
	query := url.Values{
		"prefix":   {prefix},
		"since":    {fmt.Sprint(since)},
		"block_ms": {fmt.Sprint(block.Milliseconds())},
	}
	err := c.call(ctx, request{method: http.MethodGet, path: "/follow?" + query.Encode(), extra: block}, &response)
	return response, err
}
