package emulator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"robinstack/internal/statekv"
)

// HTTP paths of the state service.
const (
	keysPath    = "/keys"
	txnPath     = "/txn"
	watchPath   = "/follow"
	leasesPath  = "/grants"
	renewSuffix = "/extend"
)

// defaultPageKeys is the page size for list requests without the parameter "page".
const defaultPageKeys = 1000

// ServeHTTP implements the published HTTP protocol of the state service.
func (s *StateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.revokeExpired(time.Now())
	if !s.allowRequest(r) {
		writeJSON(w, http.StatusTooManyRequests, nil)
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
		writeJSON(w, http.StatusBadRequest, nil)
	}
}

func (s *StateService) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page := s.listPage(query.Get("prefix"), query.Get("since"), parseIntOr(query.Get("page"), defaultPageKeys))
	writeJSON(w, http.StatusOK, page)
}

func (s *StateService) serveGet(w http.ResponseWriter, r *http.Request) {
	kv, err := s.Get(r.Context(), strings.TrimPrefix(r.URL.Path, keysPath+"/"))
	if err != nil {
		writeJSON(w, http.StatusNotFound, map[string]uint64{"ledger_rev": s.currentRevision()})
		return
	}
	writeJSON(w, http.StatusOK, kv)
}

func (s *StateService) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, block := uint64(parseIntOr(query.Get("since"), 0)),
		time.Duration(parseIntOr(query.Get("block_ms"), 0))*time.Millisecond
	response, err := s.Watch(r.Context(), query.Get("prefix"), since, block)
	switch {
	case errors.Is(err, statekv.ErrCompacted):
		writeJSON(w, http.StatusGone, nil)
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, nil)
	default:
		writeJSON(w, http.StatusOK, response)
	}
}

func (s *StateService) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// listPage returns the first keys under prefix that sort after the key given by after, at most
// limit of them. Unlike List, it works during an outage too.
func (s *StateService) listPage(prefix, after string, limit int) statekv.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := statekv.Page{Rev: s.revision, Items: []statekv.KV{}}
	for _, kv := range s.listAllLocked(prefix) {
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
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	if !s.allowTxn(len(txn.Then)) {
		writeJSON(w, http.StatusTooManyRequests, nil)
		return
	}
	var then []statekv.Op
	for _, op := range txn.Then {
		if op.Lease != 0 && !s.leaseExists(op.Lease) {
			writeJSON(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
			return
		}
		then = append(then, statekv.Op{Set: op.Set, Value: op.Value, Lease: op.Lease, Delete: op.Delete})
	}
	rev, err := s.Txn(r.Context(), txn.When, then)
	var conflict *statekv.ConflictError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, map[string]any{"failed": conflict.Failed, "ledger_rev": s.currentRevision()})
	case errors.Is(err, statekv.ErrTooLarge):
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "too large"})
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, nil)
	default:
		writeJSON(w, http.StatusOK, map[string]uint64{"ledger_rev": rev})
	}
}

// serveLeases serves POST /grants, DELETE /grants/ID and POST /grants/ID/extend.
func (s *StateService) serveLeases(w http.ResponseWriter, r *http.Request) {
	segments := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(segments) == 1 {
		s.serveGrant(w, r)
		return
	}
	id := uint64(parseIntOr(segments[1], 0))
	if r.Method == http.MethodDelete {
		s.revoke(id)
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	if s.renewWithExpiry(r.Context(), id) != nil {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *StateService) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	id, err := s.grantWithExpiry(r.Context(), time.Duration(request.TTL)*time.Millisecond)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, nil)
		return
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"grant": id})
}
