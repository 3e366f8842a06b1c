package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"robinstack/internal/cloud"
)

// CloudServer answers as the cloud does, by its published protocol, from a cloud in memory.
type CloudServer struct {
	api   cloud.API
	limit *rate.Limiter // nil: none
	lag   time.Duration // by which lists are old

	requests, refused atomic.Uint64

	mu    sync.Mutex
	lists []datedList // in the order of their times, the latest last
}

// datedList is a list of machines as of some time.
type datedList struct {
	at       time.Time
	machines []cloud.Machine
}

// NewCloudServer returns a server of at most rps requests a second, 0: any number, with
// bursts of two seconds' worth, whose lists are old by lag.
func NewCloudServer(api cloud.API, rps float64, lag time.Duration) *CloudServer {
	s := &CloudServer{api: api, lag: lag}
	if rps > 0 {
		s.limit = rate.NewLimiter(rate.Limit(rps), max(1, int(2*rps)))
	}
	return s
}

// Requests counts the requests that came, and Refused those beyond the limit.
func (s *CloudServer) Requests() uint64 { return s.requests.Load() }

// Refused counts the requests that were beyond the limit.
func (s *CloudServer) Refused() uint64 { return s.refused.Load() }

// pageSize is the most machines that one answer lists.
const pageSize = 500

// ServeHTTP answers a request.
func (s *CloudServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	if s.limit != nil && !s.limit.Allow() {
		s.refused.Add(1)
		answer(w, http.StatusTooManyRequests, nil)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		types, err := s.api.MachineTypes(r.Context())
		answerOr(w, err, map[string]any{"host_kinds": types})
	case "GET /hosts":
		s.serveList(w, r)
	case "POST /hosts":
		s.serveRental(w, r)
	case "POST /hosts/delete":
		var in struct {
			Names []string `json:"hosts"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		answerOr(w, s.api.ScaleIn(r.Context(), in.Names), struct{}{})
	default:
		answer(w, http.StatusBadRequest, nil)
	}
}

func answerOr(w http.ResponseWriter, err error, body any) {
	if err != nil {
		answer(w, http.StatusServiceUnavailable, map[string]string{"error": "trouble"})
		return
	}
	answer(w, http.StatusOK, body)
}

func (s *CloudServer) serveRental(w http.ResponseWriter, r *http.Request) {
	var in cloud.ScaleOutRequest
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	names, err := s.api.ScaleOut(r.Context(), in)
	if err != nil {
		answer(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
		return
	}
	answer(w, http.StatusOK, map[string]any{"hosts": names})
}

func (s *CloudServer) serveList(w http.ResponseWriter, r *http.Request) {
	machines, err := s.list(r.Context(), time.Now())
	if err != nil {
		answerOr(w, err, nil)
		return
	}
	since := r.URL.Query().Get("since")
	from, found := slices.BinarySearchFunc(machines, since, func(m cloud.Machine, name string) int { return strings.Compare(m.Name, name) })
	if found {
		from++
	}
	to := min(len(machines), from+min(pageSize, number(r.URL.Query().Get("page"), pageSize)))
	answer(w, http.StatusOK, map[string]any{"hosts": machines[from:to], "truncated": to < len(machines)})
}

// list returns the latest list that is old enough.
func (s *CloudServer) list(ctx context.Context, now time.Time) ([]cloud.Machine, error) {
	machines, err := s.api.Machines(ctx)
	if err != nil || s.lag == 0 {
		return machines, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, datedList{now, machines})
	old := 0
	for old+1 < len(s.lists) && now.Sub(s.lists[old+1].at) >= s.lag {
		old++
	}
	s.lists = s.lists[old:]
	if now.Sub(s.lists[0].at) < s.lag {
		return nil, nil // nothing is known to be there yet
	}
	return s.lists[0].machines, nil
}
