package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"robinstack/internal/statekv"
)

// StateService is an in-memory state service: keys with revisions, compare-and-swap transactions,
// leases and watches. It implements statekv.Store for direct calls and the published HTTP protocol
// (ServeHTTP).
type StateService struct {
	mu       sync.Mutex // guards all fields but rateLimits
	revision uint64     // of the latest change
	keys     map[string]statekv.KV
	events   []statekv.Event // changes retained for watches, in ascending order of revision
	changed  chan struct{}   // closed when a change is made or an outage begins or ends

	// compactedRevision is the latest revision whose changes are no longer retained.
	compactedRevision uint64

	lastLease      uint64
	leaseDeadlines map[uint64]time.Time
	keyLeases      map[string]uint64 // leases that keys are attached to, by key

	// leaseTTLs contains only the leases that expire. A lease that is granted by a direct call of
	// Grant does not expire, so that a test decides when it ends: it calls Revoke.
	leaseTTLs map[uint64]time.Duration

	down          bool          // every request is rejected
	loseResponses bool          // transactions are applied but get no response
	txnLatency    time.Duration // delay before a transaction is applied

	maxValueBytes  int // 0: unlimited
	maxTxnOps      int // 0: unlimited
	sizeViolations []string
	changes        int

	rateLimits atomic.Pointer[RateLimits] // nil: unlimited
}

// maxComparesPerOp is the maximum number of compares in a transaction for each change that the size
// limit permits.
const maxComparesPerOp = 4

// NewStateService returns an empty state service at revision 1.
func NewStateService() *StateService {
	return &StateService{
		revision:       1,
		keys:           map[string]statekv.KV{},
		changed:        make(chan struct{}),
		leaseDeadlines: map[uint64]time.Time{},
		keyLeases:      map[string]uint64{},
		leaseTTLs:      map[uint64]time.Duration{},
	}
}

// NewStateServiceAtRevisionZero returns a state service at revision 0, to which nothing has ever
// been written.
func NewStateServiceAtRevisionZero() *StateService {
	s := NewStateService()
	s.revision = 0
	return s
}

// Changes returns the number of sets and deletes made by transactions.
func (s *StateService) Changes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// SetSizeLimits sets the maximum size of a value and the maximum number of changes in a
// transaction; 0: unlimited. Transactions over a limit are rejected.
func (s *StateService) SetSizeLimits(maxValueBytes, maxTxnOps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes, s.maxTxnOps = maxValueBytes, maxTxnOps
}

// SizeViolations describes the transactions that were rejected because of the size limits.
func (s *StateService) SizeViolations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sizeViolations
}

// checkSizeLimits reports whether a transaction is within the size limits, and records a violation
// if not. The caller must hold s.mu.
func (s *StateService) checkSizeLimits(when []statekv.Compare, then []statekv.Op) bool {
	if s.maxTxnOps > 0 && (len(then) > s.maxTxnOps || len(when) > maxComparesPerOp*s.maxTxnOps) {
		s.sizeViolations = append(s.sizeViolations, fmt.Sprintf(
			"transaction with %d changes and %d compares: the limits are %d and %d",
			len(then), len(when), s.maxTxnOps, maxComparesPerOp*s.maxTxnOps))
		return false
	}
	if s.maxValueBytes == 0 {
		return true
	}
	for _, op := range then {
		// An encoding error is ignored here; apply returns it.
		raw, _ := json.Marshal(op.Value)
		if op.Set != "" && len(raw) > s.maxValueBytes {
			s.sizeViolations = append(s.sizeViolations, fmt.Sprintf(
				"value of %s has %d bytes: the limit is %d", op.Set, len(raw), s.maxValueBytes))
			return false
		}
	}
	return true
}

// SetTxnLatency sets the delay before transactions are applied.
func (s *StateService) SetTxnLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnLatency = d
}

// SetOutage begins or ends outages. While down is set, every request is rejected. While loseResponses
// is set, transactions are applied but get no response. When down is cleared, every lease that
// expires starts again with its full TTL.
func (s *StateService) SetOutage(down, loseResponses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for id, ttl := range s.leaseTTLs {
			if _, exists := s.leaseDeadlines[id]; exists {
				s.leaseDeadlines[id] = time.Now().Add(ttl)
			}
		}
	}
	s.down, s.loseResponses = down, loseResponses
	s.wakeWatchers()
}

// IsDown reports whether every request is rejected.
func (s *StateService) IsDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// minRetainedEvents is the minimum number of events that are retained for watches once that many
// changes have been made.
const minRetainedEvents = 10_000

// recordEvent adds an event for watches and drops old events if there are too many. The caller must
// hold s.mu.
func (s *StateService) recordEvent(e statekv.Event) {
	if len(s.events) >= 2*minRetainedEvents {
		drop := len(s.events) - minRetainedEvents
		s.compactedRevision = s.events[drop-1].Rev
		s.events = append([]statekv.Event(nil), s.events[drop:]...)
	}
	s.events = append(s.events, e)
	s.wakeWatchers()
}

// wakeWatchers makes all waiting watches check for events and outages. The caller must hold s.mu.
func (s *StateService) wakeWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get implements statekv.Store. It returns statekv.ErrNotFound for a key that does not exist.
func (s *StateService) Get(_ context.Context, key string) (statekv.KV, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return statekv.KV{}, statekv.ErrRejected
	}
	kv, ok := s.keys[key]
	if !ok {
		return kv, statekv.ErrNotFound
	}
	return kv, nil
}

// A page returned by List has a fifth of all keys, but at least two. Pages are small so that tests
// exercise paging.
const (
	minPageKeys  = 2
	pagesPerList = 5
)

// List implements statekv.Store. It returns a page of the keys under prefix that sort after the key
// given by after.
func (s *StateService) List(_ context.Context, prefix, after string) (statekv.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return statekv.Page{}, statekv.ErrRejected
	}
	p := statekv.Page{Rev: s.revision}
	for _, kv := range s.listAllLocked(prefix) {
		if kv.Key > after {
			p.Items = append(p.Items, kv)
		}
	}
	if limit := max(minPageKeys, len(s.keys)/pagesPerList); len(p.Items) > limit {
		p.Items, p.More = p.Items[:limit], true
	}
	return p, nil
}

// ListAll returns all keys under a prefix, sorted. It works during an outage too.
func (s *StateService) ListAll(prefix string) []statekv.KV {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listAllLocked(prefix)
}

func (s *StateService) listAllLocked(prefix string) []statekv.KV {
	var out []statekv.KV
	for k, kv := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, kv)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Txn applies all changes if every compare holds, and returns the new revision. The error is a
// *statekv.ConflictError with the keys whose compares fail, statekv.ErrTooLarge if a size limit is
// exceeded, or statekv.ErrOutcomeUnknown if the response is lost.
func (s *StateService) Txn(_ context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error) {
	s.mu.Lock()
	latency := s.txnLatency
	s.mu.Unlock()
	time.Sleep(latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, statekv.ErrRejected
	}
	if !s.checkSizeLimits(when, then) {
		return 0, statekv.ErrTooLarge
	}
	var failed []string
	for _, c := range when {
		if s.keys[c.Key].Rev != c.Rev {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 0, &statekv.ConflictError{Failed: failed}
	}
	if len(then) == 0 {
		return s.revision, nil // a transaction without changes
	}
	if err := s.apply(then); err != nil {
		return 0, err
	}
	if s.loseResponses {
		return 0, statekv.ErrOutcomeUnknown
	}
	return s.revision, nil
}

// apply makes changes at a new revision. The caller must hold s.mu.
func (s *StateService) apply(ops []statekv.Op) error {
	s.revision++
	s.changes += len(ops)
	for _, op := range ops {
		if op.Delete != "" {
			delete(s.keys, op.Delete)
			s.recordEvent(statekv.Event{Delete: op.Delete, Rev: s.revision})
			continue
		}
		raw, err := json.Marshal(op.Value)
		if err != nil {
			return fmt.Errorf("encoding value of %s: %w", op.Set, err)
		}
		s.keys[op.Set] = statekv.KV{Key: op.Set, Value: raw, Rev: s.revision}
		s.keyLeases[op.Set] = op.Lease
		s.recordEvent(statekv.Event{Set: op.Set, Value: raw, Rev: s.revision})
	}
	return nil
}

// Watch returns the changes under prefix after revision since. If there are none, it waits for the
// first one, for at most block. It returns statekv.ErrCompacted if these changes are no longer
// retained.
func (s *StateService) Watch(
	ctx context.Context, prefix string, since uint64, block time.Duration,
) (statekv.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, block)
	defer cancel()
	for {
		s.mu.Lock()
		response := statekv.WatchResponse{Rev: s.revision}
		if since < s.compactedRevision {
			s.mu.Unlock()
			return response, statekv.ErrCompacted
		}
		response.Events = s.eventsSince(since, prefix)
		changed, down := s.changed, s.down
		s.mu.Unlock()
		if down {
			return statekv.WatchResponse{}, statekv.ErrRejected
		}
		if len(response.Events) > 0 || ctx.Err() != nil {
			return response, nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// eventsSince returns the events under a prefix after a revision. The caller must hold s.mu.
func (s *StateService) eventsSince(revision uint64, prefix string) (out []statekv.Event) {
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Rev > revision })
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.Key(), prefix) {
			out = append(out, e)
		}
	}
	return out
}

// Size returns the number of keys and the total size of their names and values.
func (s *StateService) Size() (keys, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, kv := range s.keys {
		bytes += len(key) + len(kv.Value)
	}
	return len(s.keys), bytes
}

// MaxTxnOps returns the configured maximum ops; the emulated service never asks for less.
func (s *StateService) MaxTxnOps(ops int) int { return ops }

// TxnBatchSize returns ops: batches are as large as transactions may be.
func (s *StateService) TxnBatchSize(ops int) int { return ops }

// Allow returns true: direct calls have no rate limit.
func (s *StateService) Allow(statekv.RequestClass, int) bool { return true }
