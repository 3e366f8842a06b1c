package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"robinstack/internal/statekv"
)

// RateLimits are limits of the state service, in effect for what comes over HTTP, and what was
// counted under them.
type RateLimits struct {
	requests, changes *rate.Limiter

	Requests, Changes atomic.Uint64 // that came
	Refused           atomic.Uint64 // requests beyond a limit
	Renewals, Watches atomic.Uint64 // of the requests
}

// NewRateLimits returns limits of so many requests and changes a second, with bursts of one
// second's worth.
func NewRateLimits(requests, changes float64) *RateLimits {
	return &RateLimits{requests: rate.NewLimiter(rate.Limit(requests), max(1, int(requests))), changes: rate.NewLimiter(rate.Limit(changes), max(1, int(changes)))}
}

// admits counts a request with so many changes, and reports whether it is within the limits.
func (r *RateLimits) admits(changes int) bool {
	r.Requests.Add(1)
	r.Changes.Add(uint64(changes))
	now := time.Now()
	if !r.requests.AllowN(now, 1) || !r.changes.AllowN(now, changes) {
		r.Refused.Add(1)
		return false
	}
	return true
}

// SetRateLimits limits what comes over HTTP from now on; nil: not at all.
func (s *StateService) SetRateLimits(r *RateLimits) { s.rates.Store(r) }

// Size is how many keys there are, and the bytes of their names and values.
func (s *StateService) Size() (keys, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, kv := range s.keys {
		bytes += len(key) + len(kv.Value)
	}
	return len(s.keys), bytes
}

// admits holds a request other than a transaction against the limits.
func (s *StateService) admits(r *http.Request) bool {
	rates := s.rates.Load()
	if rates == nil || r.URL.Path == "/txn" {
		return true
	}
	switch {
	case r.URL.Path == "/follow":
		rates.Watches.Add(1)
	case strings.HasSuffix(r.URL.Path, "/extend"):
		rates.Renewals.Add(1)
	}
	return rates.admits(0)
}

// ServeHTTP answers as the state service does, by its published protocol.
func (s *StateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.expire(time.Now())
	if !s.admits(r) {
		answer(w, http.StatusTooManyRequests, nil)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/keys":
		q := r.URL.Query()
		page := s.page(q.Get("prefix"), q.Get("since"), number(q.Get("page"), 1000))
		answer(w, http.StatusOK, page)
	case r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/keys/"):
		kv, err := s.Get(r.Context(), strings.TrimPrefix(r.URL.Path, "/keys/"))
		if err != nil {
			answer(w, http.StatusNotFound, map[string]uint64{"ledger_rev": s.revision()})
			return
		}
		answer(w, http.StatusOK, kv)
	case r.Method == http.MethodPost && r.URL.Path == "/txn":
		s.serveTxn(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/follow":
		q := r.URL.Query()
		news, err := s.Watch(r.Context(), q.Get("prefix"), uint64(number(q.Get("since"), 0)), time.Duration(number(q.Get("block_ms"), 0))*time.Millisecond)
		switch {
		case errors.Is(err, statekv.ErrCompacted):
			answer(w, http.StatusGone, nil)
		case err != nil:
			answer(w, http.StatusServiceUnavailable, nil)
		default:
			answer(w, http.StatusOK, news)
		}
	case strings.HasPrefix(r.URL.Path, "/grants"):
		s.serveLeases(w, r)
	default:
		answer(w, http.StatusBadRequest, nil)
	}
}

func number(s string, or int) int {
	if n, err := strconv.Atoi(s); err == nil {
		return n
	}
	return or
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *StateService) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

func (s *StateService) page(prefix, after string, most int) statekv.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := statekv.Page{Rev: s.rev, Items: []statekv.KV{}}
	for _, kv := range s.dir(prefix) {
		if kv.Key <= after {
			continue
		}
		if len(p.Items) == most {
			p.More = true
			break
		}
		p.Items = append(p.Items, kv)
	}
	return p
}

func (s *StateService) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		When []statekv.Compare `json:"when"`
		Then []struct {
			Set    string          `json:"set"`
			Value  json.RawMessage `json:"data"`
			Lease  uint64          `json:"grant"`
			Delete string          `json:"delete"`
		} `json:"then"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	if rates := s.rates.Load(); rates != nil && !rates.admits(len(txn.Then)) {
		answer(w, http.StatusTooManyRequests, nil)
		return
	}
	var then []statekv.Op
	for _, op := range txn.Then {
		if op.Lease != 0 && !s.lives(op.Lease) {
			answer(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
			return
		}
		then = append(then, statekv.Op{Set: op.Set, Value: op.Value, Lease: op.Lease, Delete: op.Delete})
	}
	rev, err := s.Txn(r.Context(), txn.When, then)
	var conflict *statekv.ConflictError
	switch {
	case errors.As(err, &conflict):
		answer(w, http.StatusConflict, map[string]any{"failed": conflict.Failed, "ledger_rev": s.revision()})
	case errors.Is(err, statekv.ErrTooLarge):
		answer(w, http.StatusBadRequest, map[string]string{"error": "too large"})
	case err != nil:
		answer(w, http.StatusServiceUnavailable, nil)
	default:
		answer(w, http.StatusOK, map[string]uint64{"ledger_rev": rev})
	}
}

func (s *StateService) lives(lease uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.leases[lease]
	return ok
}

func (s *StateService) serveLeases(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		id, err := s.Grant(r.Context(), time.Duration(in.TTL)*time.Millisecond)
		if err != nil {
			answer(w, http.StatusServiceUnavailable, nil)
			return
		}
		s.mu.Lock()
		s.ttls[id] = time.Duration(in.TTL) * time.Millisecond
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]uint64{"grant": id})
		return
	}
	id := uint64(number(parts[1], 0))
	if r.Method == http.MethodDelete {
		_ = s.Revoke(r.Context(), id)
		answer(w, http.StatusOK, struct{}{})
		return
	}
	if err := s.Renew(r.Context(), id); err != nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.mu.Lock()
	s.leases[id] = time.Now().Add(s.ttls[id])
	s.mu.Unlock()
	answer(w, http.StatusOK, struct{}{})
}

// expire ends the leases of those that came over HTTP and did not renew in time.
func (s *StateService) expire(now time.Time) {
	s.mu.Lock()
	if s.Down {
		s.mu.Unlock()
		return
	}
	var over []uint64
	for id, until := range s.leases {
		if s.ttls[id] > 0 && now.After(until) {
			over = append(over, id)
		}
	}
	s.mu.Unlock()
	for _, id := range over {
		_ = s.Revoke(context.Background(), id)
	}
}

// ExpireLeases ends leases that nobody renews although no request comes, until stop is closed.
func (s *StateService) ExpireLeases(stop <-chan struct{}) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			s.expire(now)
		}
	}
}
