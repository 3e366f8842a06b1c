// Package statekv is the client of the state service, the only store that the controllers share. It
// provides keys with revisions, compare-and-swap transactions, leases and watches (Store, Client),
// a local replica of the keys under some prefixes (Mirror), and controller sessions (Session). A
// session is a key attached to a lease; the key's revision is the fencing token of all writes of
// the controller.
//
// The package owns this process's share of the service's rate limits (Client, WriteBudget), the
// mirrored keys (Mirror) and the time of the last lease renewal (Session). Each of these types
// guards its state with its own mutex and does not hold it during requests to the service. The
// package imports only budget and httpjson, and knows the names of keys but not the meaning of
// their values.
package statekv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Errors that callers distinguish. Their texts reach operators in the answers of the rollout
// commands.
var (
	// ErrNotFound reports that the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrRejected reports that the request was not carried out.
	ErrRejected = errors.New("refused by the state service")
	// ErrOutcomeUnknown reports that no answer arrived. The request may be carried out now, later
	// or never.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrTooLarge reports that a transaction was rejected as malformed because the transaction, or
	// a value in it, exceeds the service's current size limits. It wraps ErrRejected.
	ErrTooLarge = fmt.Errorf("%w: too large", ErrRejected)
	// ErrCompacted reports that the changes since a watch's start revision are no longer kept.
	ErrCompacted = errors.New("watch start compacted")
)

// ConflictError reports which compares of a transaction did not hold.
type ConflictError struct {
	Failed []string // keys of the compares
}

func (e *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", e.Failed) }

// IsConflict reports whether err is, or wraps, a *ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}

// KV is a key with its value and the revision of its latest change.
type KV struct {
	Key   string          `json:"path"`
	Value json.RawMessage `json:"data"`
	Rev   uint64          `json:"key_rev"`

	Parsed any `json:"-"` // result of Mirror.Parse
}

// Compare requires that a key has the given revision. Revision 0 requires that the key does not
// exist.
type Compare struct {
	Key string `json:"path"`
	Rev uint64 `json:"key_rev"`
}

// Op is one change of a transaction. It sets or deletes a key.
type Op struct {
	Set    string `json:"set,omitempty"`
	Value  any    `json:"data,omitempty"`
	Lease  uint64 `json:"grant,omitempty"`
	Delete string `json:"delete,omitempty"`
}

// Event is a change returned by a watch.
type Event struct {
	Set    string          `json:"set"`
	Value  json.RawMessage `json:"data"`
	Delete string          `json:"delete"`
	Rev    uint64          `json:"key_rev"`

	Parsed any `json:"-"` // result of Mirror.Parse, shared by all consumers
}

// Key returns the key that was set or deleted.
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

// WatchResponse is the result of a watch: the changes, and the revision up to which they are
// complete.
type WatchResponse struct {
	Rev    uint64  `json:"ledger_rev"`
	Events []Event `json:"news"`
}

// Store is the interface of the state service for the rest of the program. Its methods return the
// errors of this package.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (KV, error)
	// List reads one page of the keys under prefix, in order. If after is not empty, the page
	// begins with the next key behind it.
	List(ctx context.Context, prefix, after string) (Page, error)
	// Txn applies the changes listed in then if every compare in when holds, and returns the new
	// revision. It returns a *ConflictError if a compare does not hold.
	Txn(ctx context.Context, when []Compare, then []Op) (uint64, error)
	// Grant obtains a lease.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew renews a lease.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease immediately.
	Revoke(ctx context.Context, lease uint64) error
	// Watch waits, for at most block, until a key under prefix changes at a revision later than
	// since.
	Watch(ctx context.Context, prefix string, since uint64, block time.Duration) (WatchResponse, error)

	// Allow reports whether n requests of a class that can wait may be sent now, and counts them if
	// so. It keeps submissions, cancellations and completions of jobs from queueing behind requests
	// for hundreds of machines.
	Allow(class RequestClass, n int) bool

	// MaxTxnOps returns the largest number of changes in a transaction. This is ops, the limit in
	// the settings, or fewer if the service has rejected larger transactions.
	MaxTxnOps(ops int) int

	// TxnBatchSize returns the number of changes to put into one transaction, when up to ops
	// changes can be divided among transactions: no more than can be sent soon.
	TxnBatchSize(ops int) int
}
