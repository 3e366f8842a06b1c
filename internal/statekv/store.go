// Package statekv is the client of the state service, the only store that the controllers
// share. It offers keys with revisions, compare-and-swap transactions, leases and watches
// (Store, Client), a read replica of the keys under some prefixes (Mirror), and the session
// of a controller: a key attached to a lease whose revision is the fencing condition of all
// that the controller writes (Session).
//
// It owns this process's share of the service's rate limits (Client, WriteBudget), the
// mirrored keys (Mirror) and the time of the last lease renewal (Session). Each of these types
// guards its state with a mutex of its own, held over no request to the service. It imports
// budget and httpjson only, and knows of what the keys mean no more than their names.
package statekv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Errors that a caller has to tell apart. Their texts reach operators in answers of the roll-out
// commands.
var (
	// ErrNotFound says that the key or the lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrRejected says that the request was not carried out.
	ErrRejected = errors.New("refused by the state service")
	// ErrOutcomeUnknown says that no answer came: the request may be carried out now, later or
	// never.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrTooLarge says that a transaction was rejected as malformed: it, or a value in it, is
	// larger than the service takes now. It is an ErrRejected too.
	ErrTooLarge = fmt.Errorf("%w: too large", ErrRejected)
	// ErrCompacted says that the changes since a watch's starting point are no longer kept.
	ErrCompacted = errors.New("watch start compacted")
)

// ConflictError says which compares of a transaction did not hold.
type ConflictError struct {
	Failed []string // their keys
}

func (e *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", e.Failed) }

// IsConflict reports whether err says that a transaction's compares did not hold.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}

// KV is a key with its value and the revision of its latest change.
type KV struct {
	Key   string          `json:"path"`
	Value json.RawMessage `json:"data"`
	Rev   uint64          `json:"key_rev"`

	Parsed any `json:"-"` // what Mirror.Parse made of the value
}

// Compare requires that a key has a revision; 0 means that it does not exist.
type Compare struct {
	Key string `json:"path"`
	Rev uint64 `json:"key_rev"`
}

// Op is one change of a transaction: a key that is set, or one that is deleted.
type Op struct {
	Set    string `json:"set,omitempty"`
	Value  any    `json:"data,omitempty"`
	Lease  uint64 `json:"grant,omitempty"`
	Delete string `json:"delete,omitempty"`
}

// Event is a change that a watch returned.
type Event struct {
	Set    string          `json:"set"`
	Value  json.RawMessage `json:"data"`
	Delete string          `json:"delete"`
	Rev    uint64          `json:"key_rev"`

	Parsed any `json:"-"` // what Mirror.Parse made of the value, once for all consumers
}

// Key returns the key that the event is about.
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

// WatchResponse is what a watch returned: the changes, and the revision they are complete up to.
type WatchResponse struct {
	Rev    uint64  `json:"ledger_rev"`
	Events []Event `json:"news"`
}

// Store is the state service as the rest of the program uses it. The errors are those of this
// package.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (KV, error)
	// List reads a page of the keys under prefix that follow after.
	List(ctx context.Context, prefix, after string) (Page, error)
	// Txn applies then if every compare holds, and returns the new revision. A *ConflictError
	// says that one did not hold.
	Txn(ctx context.Context, when []Compare, then []Op) (uint64, error)
	// Grant obtains a lease.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew prolongs a lease.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease at once.
	Revoke(ctx context.Context, lease uint64) error
	// Watch waits, for at most block, until something under prefix changes after since.
	Watch(ctx context.Context, prefix string, since uint64, block time.Duration) (WatchResponse, error)

	// Allow reports whether n requests of a class that can wait may be made now, and counts
	// them if so: submissions, cancellations and completions of jobs must not queue behind
	// hundreds of machines.
	Allow(class RequestClass, n int) bool

	// MaxTxnOps is how many changes a transaction may have, given how many the settings allow:
	// fewer, if the service has rejected as many as too large.
	MaxTxnOps(ops int) int

	// TxnBatchSize is how many of the changes that can be divided among transactions one is to
	// have: no more than can be made soon.
	TxnBatchSize(ops int) int
}
