// Package statekv is the client of the state service: keys with revisions,
// conditional transactions, leases and a mirror of the keys under a prefix.
package statekv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"robinstack/internal/httpjson"
)

// Errors a caller has to tell apart.
var (
	// ErrNotFound: the key or the lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrRejected: the request was not carried out.
	ErrRejected = errors.New("refused by the state service")
	// ErrOutcomeUnknown: no answer; the request may be carried out now, later or never.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrSpecTooLarge: a transaction was refused as malformed: it, or a value in it, is larger
	// than the service takes now. It is an ErrRejected too.
	ErrTooLarge = fmt.Errorf("%w: too large", ErrRejected)
	// ErrCompacted: the watch's starting point is too old.
	ErrCompacted = errors.New("watch too old")
)

// ConflictError says which conditions of a transaction did not hold.
type ConflictError struct{ Failed []string }

func (c *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", c.Failed) }

// IsConflict reports whether err says that a transaction's conditions failed.
func IsConflict(err error) bool {
	var c *ConflictError
	return errors.As(err, &c)
}

// KV is a key with its value and the revision of its latest change.
type KV struct {
	Key   string          `json:"path"`
	Value json.RawMessage `json:"data"`
	Rev   uint64          `json:"key_rev"`

	Parsed any `json:"-"` // what the mirror's Parse made of the value
}

// Compare requires that a key has a revision; 0 means that it does not exist.
type Compare struct {
	Key string `json:"path"`
	Rev uint64 `json:"key_rev"`
}

// Op is one change of a transaction.
type Op struct {
	Set    string `json:"set,omitempty"`
	Value  any    `json:"data,omitempty"`
	Lease  uint64 `json:"grant,omitempty"`
	Delete string `json:"delete,omitempty"`
}

// Event is a change seen by a watch.
type Event struct {
	Set    string          `json:"set"`
	Value  json.RawMessage `json:"data"`
	Delete string          `json:"delete"`
	Rev    uint64          `json:"key_rev"`

	Parsed any `json:"-"` // what Mirror.Parse made of the value, once for all who follow
}

// Key is the key the event is about.
func (e Event) Key() string {
	if e.Set != "" {
		return e.Set
	}
	return e.Delete
}

// Page is one page of a listing.
type Page struct {
	Items []KV   `json:"items"`
	More  bool   `json:"truncated"`
	Rev   uint64 `json:"ledger_rev"`
}

// WatchResponse is what a watch returned.
type WatchResponse struct {
	Rev    uint64  `json:"ledger_rev"`
	Events []Event `json:"news"`
}

// Store is the state service as the rest of the program uses it.
type Store interface {
	Get(ctx context.Context, key string) (KV, error)
	List(ctx context.Context, prefix, after string) (Page, error)
	Txn(ctx context.Context, when []Compare, then []Op) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, since uint64, block time.Duration) (WatchResponse, error)

	// Allow reports whether n requests of a kind that can wait may be made now,
	// and counts them if so: submissions, cancellations and ends of jobs must
	// not queue behind hundreds of machines.
	Allow(kind RequestClass, n int) bool

	// MaxTxnOps is how many changes a transaction may have, given how many the settings say:
	// fewer, if the service has refused as many as too large.
	MaxTxnOps(ops int) int

	// TxnBatchSize is how many of the changes that can be divided among transactions one is to
	// have: no more than can be made soon.
	TxnBatchSize(ops int) int
}

// RequestClass is a kind of change that can wait.
type RequestClass int

// ClassClaim keep work alive and go before Chores (folding, removing keys). Lookups
// are reads for users who ask about jobs that are over or were never submitted.
const (
	ClassClaim RequestClass = iota
	ClassMaintenance
	ClassLookup
)

// LookupShare is the part of a controller's requests that lookups may use.
const LookupShare = 0.3

// shares are the parts of a controller's changes, or for lookups of its
// requests, that each kind may use.
var classShares = [...]float64{ClassClaim: 0.7, ClassMaintenance: 0.5, ClassLookup: LookupShare}

// Client talks to the state service over HTTP and keeps this controller's
// share of the service's limits.
type Client struct {
	base   string
	http   *httpjson.Client
	reads  *rate.Limiter
	writes *WriteBudget
	kinds  [len(classShares)]*rate.Limiter

	requests float64 // per second, for all controllers together

	most atomic.Int64 // changes of a transaction that the service was seen to take; 0: any
}

// refusedLarge takes note of a transaction of n changes that was too large: limits can be
// lowered without notice. Who writes many at once splits them and goes on.
func (c *Client) refusedLarge(n int) {
	slog.Warn("state transaction size limit lowered", "operations", n)
	c.most.Store(int64(max(1, n/2)))
}

// took lets transactions grow again, by one at a time: what was too large may have been
// a value.
func (c *Client) took(n int) {
	if most := c.most.Load(); most > 0 && int64(n) >= most {
		c.most.CompareAndSwap(most, int64(n)+1)
	}
}

// TxnBatchSize is how many of many changes are best made with one transaction: what can be made
// soon, for a larger one would wait, or be refused, while what it needs comes in.
func (c *Client) TxnBatchSize(ops int) int {
	return min(c.MaxTxnOps(ops), c.writes.opsSoon(time.Now()))
}

// MaxTxnOps is how many changes a transaction may have.
func (c *Client) MaxTxnOps(ops int) int {
	if most := c.most.Load(); most > 0 {
		return min(ops, int(most))
	}
	return ops
}

// NewClient returns a client that, with its like on the other controllers, uses
// at most the given requests and changes per second, lease renewals and watches
// not counted: those always go out.
func NewClient(address string, requests, changes float64, controllers int) *Client {
	c := &Client{
		base: "http://" + address, http: httpjson.New(1500*time.Millisecond, 64, 20*time.Second),
		reads: rate.NewLimiter(1, 1), writes: newWriteBudget(changes, controllers), requests: requests,
	}
	for k := range c.kinds {
		c.kinds[k] = rate.NewLimiter(1, 24)
	}
	c.SetControllerCount(controllers)
	return c
}

// SetControllerCount has the client use its share of the requests among so many controllers.
func (c *Client) SetControllerCount(controllers int) {
	requests := c.requests / float64(max(1, controllers))
	if c.reads.Limit() == rate.Limit(requests) {
		return
	}
	c.reads.SetLimit(rate.Limit(requests))
	c.reads.SetBurst(int(max(8, requests/2)))
	c.kinds[ClassLookup].SetLimit(rate.Limit(LookupShare * requests))
}

// WriteBudget is this controller's part of the changes that the service takes.
func (c *Client) WriteBudget() *WriteBudget { return c.writes }

// Allow reports whether n changes of a kind may be made now.
func (c *Client) Allow(kind RequestClass, n int) bool {
	now := time.Now()
	limiter := c.kinds[kind]
	atOnce := min(n, limiter.Burst())
	if kind == ClassLookup {
		return limiter.AllowN(now, atOnce)
	}
	limiter.SetLimitAt(now, rate.Limit(classShares[kind]*c.writes.rate(now)))
	if limiter.AllowN(now, atOnce) {
		return true
	}
	c.writes.noteDemand(kind, n, now)
	return false
}

func (c *Client) send(ctx context.Context, method, path string, in any, extra time.Duration) (httpjson.Response, error) {
	r, err := c.http.Do(ctx, method, c.base+path, in, extra)
	if err != nil {
		return r, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch r.Status {
	case http.StatusOK, http.StatusConflict:
		return r, nil
	case http.StatusNotFound:
		return r, ErrNotFound
	case http.StatusGone:
		return r, ErrCompacted
	case http.StatusBadRequest:
		var why struct {
			Error string `json:"error"`
		}
		if path == "/txn" && (r.Decode(&why) != nil || !strings.Contains(why.Error, "lease")) {
			return r, fmt.Errorf("%w: %s", ErrTooLarge, why.Error)
		}
		return r, fmt.Errorf("%w: %s %s: %s", ErrRejected, method, path, why.Error)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if r.Status == http.StatusTooManyRequests && path == "/txn" {
			c.writes.noteRejection(time.Now())
		}
		slog.Debug("state request rejected", "method", method, "path", path, "status", r.Status)
		return r, fmt.Errorf("%w: %s %s: status %d", ErrRejected, method, path, r.Status)
	}
	return r, fmt.Errorf("%w: %s %s: status %d", ErrOutcomeUnknown, method, path, r.Status)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any, extra time.Duration) error {
	r, err := c.send(ctx, method, path, in, extra)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := r.Decode(out); err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil
}

// longestQueue is how long a request may wait for this client's own limits. What
// would wait longer is refused at once: its sender can say when to come back.
const maxQueueTime = time.Second

func (c *Client) pace(ctx context.Context, l *rate.Limiter, n int) error {
	r := l.ReserveN(time.Now(), n)
	if !r.OK() {
		return fmt.Errorf("%w: %d at once are more than its own limit", ErrRejected, n)
	}
	d := r.Delay()
	if deadline, ok := ctx.Deadline(); d > maxQueueTime || ok && time.Until(deadline) < d {
		r.Cancel()
		return fmt.Errorf("%w: own limit", ErrRejected)
	}
	select {
	case <-ctx.Done():
		r.Cancel()
		return fmt.Errorf("%w: own limit: %w", ErrRejected, ctx.Err())
	case <-time.After(d):
		return nil
	}
}

// paceChanges waits until so many changes may be made.
func (c *Client) paceChanges(ctx context.Context, n int) error {
	now := time.Now()
	longest := c.writes.maxWait(n)
	if deadline, ok := ctx.Deadline(); ok {
		longest = min(longest, deadline.Sub(now))
	}
	wait, ok := c.writes.reserve(n, longest, now)
	if !ok {
		return fmt.Errorf("%w: own limit", ErrRejected)
	}
	select {
	case <-ctx.Done():
		c.writes.refund(n)
		return fmt.Errorf("%w: own limit: %w", ErrRejected, ctx.Err())
	case <-time.After(wait):
		return nil
	}
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (KV, error) {
	var kv KV
	if err := c.pace(ctx, c.reads, 1); err != nil {
		return kv, err
	}
	err := c.call(ctx, http.MethodGet, "/keys/"+key, nil, &kv, 0)
	return kv, err
}

// List reads the keys under prefix that follow after.
func (c *Client) List(ctx context.Context, prefix, after string) (Page, error) {
	var p Page
	if err := c.pace(ctx, c.reads, 1); err != nil {
		return p, err
	}
	q := url.Values{"prefix": {prefix}, "page": {"500"}}
	if after != "" {
		q.Set("since", after)
	}
	err := c.call(ctx, http.MethodGet, "/keys?"+q.Encode(), nil, &p, time.Second)
	return p, err
}

type txnRequest struct {
	When []Compare `json:"when"`
	Then []Op      `json:"then,omitempty"`
}

type sentKey struct{}

// WithOnSend has f called when a transaction made with the context goes out, which is later
// than its call where this client's own limits make it wait.
func WithOnSend(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, sentKey{}, f)
}

// NotifySent calls what WithOnSend gave, if anything.
func NotifySent(ctx context.Context) {
	if f, ok := ctx.Value(sentKey{}).(func()); ok {
		f()
	}
}

// Txn applies then if every condition holds. A *Conflict says that one did not.
func (c *Client) Txn(ctx context.Context, when []Compare, then []Op) (uint64, error) {
	if err := c.pace(ctx, c.reads, 1); err != nil {
		return 0, err
	}
	if len(then) > 0 { // what only compares changes nothing, and need not wait for changes
		if err := c.paceChanges(ctx, len(then)); err != nil {
			return 0, err
		}
	}
	NotifySent(ctx)
	r, err := c.send(ctx, http.MethodPost, "/txn", txnRequest{When: when, Then: then}, 0)
	if errors.Is(err, ErrTooLarge) && len(then) > 1 {
		c.refusedLarge(len(then))
	}
	if err != nil {
		return 0, err
	}
	c.took(len(then))
	var out struct {
		Rev    uint64   `json:"ledger_rev"`
		Failed []string `json:"failed"`
	}
	if err := r.Decode(&out); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if r.Status == http.StatusConflict {
		return 0, &ConflictError{Failed: out.Failed}
	}
	return out.Rev, nil
}

// Grant obtains a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var out struct {
		Grant uint64 `json:"grant"`
	}
	err := c.call(ctx, http.MethodPost, "/grants", map[string]int64{"ttl_ms": ttl.Milliseconds()}, &out, 0)
	return out.Grant, err
}

// Renew prolongs a lease.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	return c.call(ctx, http.MethodPost, fmt.Sprintf("/grants/%d/extend", lease), nil, nil, 0)
}

// Revoke ends a lease at once.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	return c.call(ctx, http.MethodDelete, fmt.Sprintf("/grants/%d", lease), nil, nil, 0)
}

// Watch waits until something under prefix changes after since.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, block time.Duration) (WatchResponse, error) {
	var n WatchResponse
	q := url.Values{"prefix": {prefix}, "since": {fmt.Sprint(since)}, "block_ms": {fmt.Sprint(block.Milliseconds())}}
	err := c.call(ctx, http.MethodGet, "/follow?"+q.Encode(), nil, &n, block)
	return n, err
}
