package emulator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"robinstack/internal/statekv"
)

// Paths of the state service's protocol.
const (
	keysPath    = "/keys"
	txnPath     = "/txn"
	watchPath   = "/follow"
	leasesPath  = "/grants"
	renewSuffix = "/extend"
)

// defaultPageKeys is how many keys a page has if a request does not say.
const defaultPageKeys = 1000

// ServeHTTP answers as the state service does, by its published protocol.
func (s *StateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.revokeExpired(time.Now())
	if !s.admit(r) {
		respond(w, http.StatusTooManyRequests, nil)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == keysPath:
		s.serveList(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, keysPath+"/"):
		s.serveGet(w, r)
	case r.Method == http.MethodPost && r.URL.Path == txnPath:
		s.serveTxn(w, r)
	case r.Method == http.MethodGet && r.URL.Path == watchPath:
		s.serveWatch(w, r)
	case strings.HasPrefix(r.URL.Path, leasesPath):
		s.serveLeases(w, r)
	default:
		respond(w, http.StatusBadRequest, nil)
	}
}

func (s *StateService) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page := s.page(q.Get("prefix"), q.Get("since"), intOr(q.Get("page"), defaultPageKeys))
	respond(w, http.StatusOK, page)
}

func (s *StateService) serveGet(w http.ResponseWriter, r *http.Request) {
	kv, err := s.Get(r.Context(), strings.TrimPrefix(r.URL.Path, keysPath+"/"))
	if err != nil {
		respond(w, http.StatusNotFound, map[string]uint64{"ledger_rev": s.currentRevision()})
		return
	}
	respond(w, http.StatusOK, kv)
}

func (s *StateService) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, block := uint64(intOr(q.Get("since"), 0)), time.Duration(intOr(q.Get("block_ms"), 0))*time.Millisecond
	response, err := s.Watch(r.Context(), q.Get("prefix"), since, block)
	switch {
	case errors.Is(err, statekv.ErrCompacted):
		respond(w, http.StatusGone, nil)
	case err != nil:
		respond(w, http.StatusServiceUnavailable, nil)
	default:
		respond(w, http.StatusOK, response)
	}
}

func (s *StateService) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// page has at most so many of the keys under a prefix that come after one. Unlike List it
// answers in an outage too.
func (s *StateService) page(prefix, after string, limit int) statekv.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := statekv.Page{Rev: s.revision, Items: []statekv.KV{}}
	for _, kv := range s.listAll(prefix) {
		if kv.Key <= after {
			continue
		}
		if len(p.Items) == limit {
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
		respond(w, http.StatusBadRequest, nil)
		return
	}
	if !s.admitTxn(len(txn.Then)) {
		respond(w, http.StatusTooManyRequests, nil)
		return
	}
	var then []statekv.Op
	for _, op := range txn.Then {
		if op.Lease != 0 && !s.leaseExists(op.Lease) {
			respond(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
			return
		}
		then = append(then, statekv.Op{Set: op.Set, Value: op.Value, Lease: op.Lease, Delete: op.Delete})
	}
	rev, err := s.Txn(r.Context(), txn.When, then)
	var conflict *statekv.ConflictError
	switch {
	case errors.As(err, &conflict):
		respond(w, http.StatusConflict, map[string]any{"failed": conflict.Failed, "ledger_rev": s.currentRevision()})
	case errors.Is(err, statekv.ErrTooLarge):
		respond(w, http.StatusBadRequest, map[string]string{"error": "too large"})
	case err != nil:
		respond(w, http.StatusServiceUnavailable, nil)
	default:
		respond(w, http.StatusOK, map[string]uint64{"ledger_rev": rev})
	}
}

// serveLeases answers POST /grants, DELETE /grants/ID, and POST /grants/ID/extend.
func (s *StateService) serveLeases(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		s.serveGrant(w, r)
		return
	}
	id := uint64(intOr(parts[1], 0))
	if r.Method == http.MethodDelete {
		s.revoke(id)
		respond(w, http.StatusOK, struct{}{})
		return
	}
	if s.renewExpiring(r.Context(), id) != nil {
		respond(w, http.StatusNotFound, struct{}{})
		return
	}
	respond(w, http.StatusOK, struct{}{})
}

func (s *StateService) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	id, err := s.grantExpiring(r.Context(), time.Duration(in.TTL)*time.Millisecond)
	if err != nil {
		respond(w, http.StatusServiceUnavailable, nil)
		return
	}
	respond(w, http.StatusOK, map[string]uint64{"grant": id})
}
