// Package emulator holds in-memory stand-ins for the systems around a controller,
// for tests.
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

// StateService is a state service in memory.
type StateService struct {
	mu      sync.Mutex
	rev     uint64
	keys    map[string]statekv.KV
	leased  map[string]uint64
	leases  map[uint64]time.Time
	ttls    map[uint64]time.Duration // of leases granted over HTTP, which end by themselves
	granted uint64
	events  []statekv.Event
	changed chan struct{}

	compacted uint64 // changes up to this revision are not kept

	// Down makes every request fail as refused; LoseAnswers carries
	// transactions out but loses their answers.
	Down, LoseAnswers bool

	slow    time.Duration // how long a transaction takes
	value   int           // bytes of a value, 0: any
	ops     int           // changes of a transaction, 0: any number
	over    []string      // what broke these limits
	changes int

	rates atomic.Pointer[RateLimits] // nil: none
}

// Changes counts the puts and deletes that were made.
func (s *StateService) Changes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// SetSizeLimits sets how large a value and how many changes a transaction may be from now on.
// What is larger is refused.
func (s *StateService) SetSizeLimits(value, ops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value, s.ops = value, ops
}

// SizeViolations lists what broke the limits.
func (s *StateService) SizeViolations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over
}

// fits checks a transaction against the limits.
func (s *StateService) fits(when []statekv.Compare, then []statekv.Op) bool {
	if s.ops > 0 && (len(then) > s.ops || len(when) > 4*s.ops) {
		s.over = append(s.over, fmt.Sprintf("%d changes under %d conditions", len(then), len(when)))
		return false
	}
	for _, op := range then {
		if raw, _ := json.Marshal(op.Value); op.Set != "" && s.value > 0 && len(raw) > s.value {
			s.over = append(s.over, fmt.Sprintf("%s has %d bytes", op.Set, len(raw)))
			return false
		}
	}
	return true
}

// NewStateService returns an empty store.
func NewStateService() *StateService {
	return &StateService{rev: 1, keys: map[string]statekv.KV{}, leased: map[string]uint64{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}, changed: make(chan struct{})}
}

// NewEmptyStateService returns a store in which nothing has ever been written.
func NewEmptyStateService() *StateService {
	s := NewStateService()
	s.rev = 0
	return s
}

// SetTxnLatency sets how long transactions take from now on.
func (s *StateService) SetTxnLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// SetOutage changes what fails. Once an outage is over, every lease has its full time again.
func (s *StateService) SetOutage(down, loseAnswers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Down && !down {
		for id, ttl := range s.ttls {
			if _, lives := s.leases[id]; lives {
				s.leases[id] = time.Now().Add(ttl)
			}
		}
	}
	s.Down, s.LoseAnswers = down, loseAnswers
	close(s.changed)
	s.changed = make(chan struct{})
}

// IsDown reports whether every request fails.
func (s *StateService) IsDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Down
}

// keptEvents is how many changes are kept at least for those who follow.
const keptEvents = 10_000

func (s *StateService) record(e statekv.Event) {
	if len(s.events) >= 2*keptEvents {
		drop := len(s.events) - keptEvents
		s.compacted = s.events[drop-1].Rev
		s.events = append([]statekv.Event(nil), s.events[drop:]...)
	}
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get reads a key.
func (s *StateService) Get(_ context.Context, key string) (statekv.KV, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Down {
		return statekv.KV{}, statekv.ErrRejected
	}
	kv, ok := s.keys[key]
	if !ok {
		return kv, statekv.ErrNotFound
	}
	return kv, nil
}

// List reads keys under a prefix, few to a page to exercise paging.
func (s *StateService) List(_ context.Context, prefix, after string) (statekv.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Down {
		return statekv.Page{}, statekv.ErrRejected
	}
	p := statekv.Page{Rev: s.rev}
	for _, kv := range s.dir(prefix) {
		if kv.Key > after {
			p.Items = append(p.Items, kv)
		}
	}
	if few := max(2, len(s.keys)/5); len(p.Items) > few {
		p.Items, p.More = p.Items[:few], true
	}
	return p, nil
}

// Txn applies a transaction.
func (s *StateService) Txn(_ context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error) {
	s.mu.Lock()
	slow := s.slow
	s.mu.Unlock()
	time.Sleep(slow)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Down {
		return 0, statekv.ErrRejected
	}
	if !s.fits(when, then) {
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
		return s.rev, nil // it only compares
	}
	s.rev++
	s.changes += len(then)
	for _, op := range then {
		if op.Delete != "" {
			delete(s.keys, op.Delete)
			s.record(statekv.Event{Delete: op.Delete, Rev: s.rev})
			continue
		}
		raw, err := json.Marshal(op.Value)
		if err != nil {
			return 0, fmt.Errorf("encoding %s: %w", op.Set, err)
		}
		s.keys[op.Set] = statekv.KV{Key: op.Set, Value: raw, Rev: s.rev}
		s.leased[op.Set] = op.Lease
		s.record(statekv.Event{Set: op.Set, Value: raw, Rev: s.rev})
	}
	if s.LoseAnswers {
		return 0, statekv.ErrOutcomeUnknown
	}
	return s.rev, nil
}

// Grant makes a lease.
func (s *StateService) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Down {
		return 0, statekv.ErrRejected
	}
	s.granted++
	id := s.granted
	s.leases[id] = time.Now().Add(ttl)
	return id, nil
}

// Renew prolongs a lease.
func (s *StateService) Renew(_ context.Context, lease uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Down {
		return statekv.ErrRejected
	}
	if _, ok := s.leases[lease]; !ok {
		return statekv.ErrNotFound
	}
	return nil
}

// Revoke ends a lease and drops its keys.
func (s *StateService) Revoke(_ context.Context, lease uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, lease)
	for k, l := range s.leased {
		if l == lease && lease != 0 {
			s.rev++
			delete(s.keys, k)
			delete(s.leased, k)
			s.record(statekv.Event{Delete: k, Rev: s.rev})
		}
	}
	return nil
}

// Watch waits for changes.
func (s *StateService) Watch(ctx context.Context, prefix string, since uint64, block time.Duration) (statekv.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, block)
	defer cancel()
	for {
		s.mu.Lock()
		n := statekv.WatchResponse{Rev: s.rev}
		if since < s.compacted {
			s.mu.Unlock()
			return n, statekv.ErrCompacted
		}
		from := sort.Search(len(s.events), func(k int) bool { return s.events[k].Rev > since })
		for _, e := range s.events[from:] {
			if strings.HasPrefix(e.Key(), prefix) {
				n.Events = append(n.Events, e)
			}
		}
		changed, down := s.changed, s.Down
		s.mu.Unlock()
		if down {
			return statekv.WatchResponse{}, statekv.ErrRejected
		}
		if len(n.Events) > 0 || ctx.Err() != nil {
			return n, nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// ListAll returns all keys under a prefix, in order.
func (s *StateService) ListAll(prefix string) []statekv.KV {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dir(prefix)
}

func (s *StateService) dir(prefix string) []statekv.KV {
	var out []statekv.KV
	for k, kv := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, kv)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// MaxTxnOps says that a transaction may have as many changes as the settings say.
func (s *StateService) MaxTxnOps(ops int) int { return ops }

// TxnBatchSize says the same.
func (s *StateService) TxnBatchSize(ops int) int { return ops }

// Allow says that changes may always be made.
func (s *StateService) Allow(statekv.RequestClass, int) bool { return true }
