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

// StateService is a state service in memory: keys with revisions, compare-and-swap
// transactions, leases and watches. Called directly it implements the methods of
// statekv.Store; over HTTP it answers by the published protocol (ServeHTTP).
type StateService struct {
	mu       sync.Mutex // guards all fields up to rateLimits
	revision uint64     // of the last transaction with changes
	keys     map[string]statekv.KV
	events   []statekv.Event // changes that are kept for watches, in the order of their revisions
	changed  chan struct{}   // closed at the next change, or change of an outage

	// compactedRevision is the last revision whose changes are not kept any more.
	compactedRevision uint64

	lastLease      uint64
	leaseDeadlines map[uint64]time.Time
	keyLeases      map[string]uint64 // leases by the keys that end with them

	// leaseTTLs has those leases alone that end by themselves. Leases granted by a direct
	// call end when they are revoked: a test decides when.
	leaseTTLs map[uint64]time.Duration

	down        bool          // every request is rejected
	loseAnswers bool          // transactions are carried out and their answers lost
	txnLatency  time.Duration // how long a transaction takes

	maxValueBytes  int // 0: any number
	maxTxnOps      int // 0: any number
	sizeViolations []string
	changes        int

	rateLimits atomic.Pointer[RateLimits] // nil: none
}

// maxComparesPerOp is how many compares a transaction may have for each change that the
// size limits allow.
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

// NewEmptyStateService returns a state service at revision 0: nothing has ever been written.
func NewEmptyStateService() *StateService {
	s := NewStateService()
	s.revision = 0
	return s
}

// Changes counts the puts and deletes that were made.
func (s *StateService) Changes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// SetSizeLimits sets how many bytes a value and how many changes a transaction may have
// from now on, 0: any number. What is larger is refused.
func (s *StateService) SetSizeLimits(maxValueBytes, maxTxnOps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes, s.maxTxnOps = maxValueBytes, maxTxnOps
}

// SizeViolations lists what was refused by the size limits.
func (s *StateService) SizeViolations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sizeViolations
}

// withinSizeLimits checks a transaction. The mutex is held.
func (s *StateService) withinSizeLimits(when []statekv.Compare, then []statekv.Op) bool {
	if s.maxTxnOps > 0 && (len(then) > s.maxTxnOps || len(when) > maxComparesPerOp*s.maxTxnOps) {
		s.sizeViolations = append(s.sizeViolations, fmt.Sprintf("%d changes under %d conditions", len(then), len(when)))
		return false
	}
	if s.maxValueBytes == 0 {
		return true
	}
	for _, op := range then {
		// A value that can't be encoded is an error of the transaction (apply).
		raw, _ := json.Marshal(op.Value)
		if op.Set != "" && len(raw) > s.maxValueBytes {
			s.sizeViolations = append(s.sizeViolations, fmt.Sprintf("%s has %d bytes", op.Set, len(raw)))
			return false
		}
	}
	return true
}

// SetTxnLatency sets how long transactions take from now on.
func (s *StateService) SetTxnLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnLatency = d
}

// SetOutage sets what fails from now on: down has every request rejected, loseAnswers has
// transactions carried out and their answers lost. Once an outage is over, every lease that
// ends by itself has its full time again.
func (s *StateService) SetOutage(down, loseAnswers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for id, ttl := range s.leaseTTLs {
			if _, exists := s.leaseDeadlines[id]; exists {
				s.leaseDeadlines[id] = time.Now().Add(ttl)
			}
		}
	}
	s.down, s.loseAnswers = down, loseAnswers
	s.wakeWatches()
}

// IsDown reports whether every request is rejected.
func (s *StateService) IsDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// keptEvents is how many changes are kept at least for watches.
const keptEvents = 10_000

// recordEvent adds a change for watches. The mutex is held.
func (s *StateService) recordEvent(e statekv.Event) {
	if len(s.events) >= 2*keptEvents {
		drop := len(s.events) - keptEvents
		s.compactedRevision = s.events[drop-1].Rev
		s.events = append([]statekv.Event(nil), s.events[drop:]...)
	}
	s.events = append(s.events, e)
	s.wakeWatches()
}

// wakeWatches has all watches look again. The mutex is held.
func (s *StateService) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get reads a key. The error is statekv.ErrNotFound for a key that does not exist.
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

// A page of List has a fifth of all keys, and two at least: few, to exercise paging.
const (
	minPageKeys  = 2
	pagesPerList = 5
)

// List reads a page of the keys under a prefix that come after one.
func (s *StateService) List(_ context.Context, prefix, after string) (statekv.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return statekv.Page{}, statekv.ErrRejected
	}
	p := statekv.Page{Rev: s.revision}
	for _, kv := range s.listAll(prefix) {
		if kv.Key > after {
			p.Items = append(p.Items, kv)
		}
	}
	if limit := max(minPageKeys, len(s.keys)/pagesPerList); len(p.Items) > limit {
		p.Items, p.More = p.Items[:limit], true
	}
	return p, nil
}

// ListAll returns all keys under a prefix, in order, also in an outage.
func (s *StateService) ListAll(prefix string) []statekv.KV {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listAll(prefix)
}

func (s *StateService) listAll(prefix string) []statekv.KV {
	var out []statekv.KV
	for k, kv := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, kv)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Txn applies all changes if all compares hold, and returns the revision then. The error is
// a *statekv.ConflictError with the keys for which they don't hold, statekv.ErrTooLarge
// beyond the size limits, or statekv.ErrOutcomeUnknown where the answer is lost.
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
	if !s.withinSizeLimits(when, then) {
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
		return s.revision, nil // it only compares
	}
	if err := s.apply(then); err != nil {
		return 0, err
	}
	if s.loseAnswers {
		return 0, statekv.ErrOutcomeUnknown
	}
	return s.revision, nil
}

// apply makes changes at a new revision. The mutex is held.
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
			return fmt.Errorf("encoding %s: %w", op.Set, err)
		}
		s.keys[op.Set] = statekv.KV{Key: op.Set, Value: raw, Rev: s.revision}
		s.keyLeases[op.Set] = op.Lease
		s.recordEvent(statekv.Event{Set: op.Set, Value: raw, Rev: s.revision})
	}
	return nil
}

// Watch returns the changes under a prefix after a revision, as soon as there are any, or
// none after block. The error is statekv.ErrCompacted if they are not kept any more.
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

// eventsSince lists the changes under a prefix after a revision. The mutex is held.
func (s *StateService) eventsSince(revision uint64, prefix string) (out []statekv.Event) {
	from := sort.Search(len(s.events), func(k int) bool { return s.events[k].Rev > revision })
	for _, e := range s.events[from:] {
		if strings.HasPrefix(e.Key(), prefix) {
			out = append(out, e)
		}
	}
	return out
}

// Size is how many keys there are, and the bytes of their names and values.
func (s *StateService) Size() (keys, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, kv := range s.keys {
		bytes += len(key) + len(kv.Value)
	}
	return len(s.keys), bytes
}

// MaxTxnOps says that a transaction may have as many changes as the settings say.
func (s *StateService) MaxTxnOps(ops int) int { return ops }

// TxnBatchSize says that a transaction need not have fewer changes than it may.
func (s *StateService) TxnBatchSize(ops int) int { return ops }

// Allow says that changes may always be made.
func (s *StateService) Allow(statekv.RequestClass, int) bool { return true }
