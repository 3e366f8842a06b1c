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
// Its mutex guards the lists that it keeps.
type CloudServer struct {
	api     cloud.API
	limit   *rate.Limiter // nil: none
	listLag time.Duration // by which lists are old

	requests, refused atomic.Uint64

	mu    sync.Mutex
	lists []datedList // in the order of their times, the latest last
}

// datedList is a list of machines as of some time.
type datedList struct {
	at       time.Time
	machines []cloud.Machine
}

// burstSeconds is how many seconds' worth of requests may come at once.
const burstSeconds = 2

// NewCloudServer returns a server of at most rps requests a second, 0: any number, with
// bursts of two seconds' worth, whose lists are old by listLag.
func NewCloudServer(api cloud.API, rps float64, listLag time.Duration) *CloudServer {
	s := &CloudServer{api: api, listLag: listLag}
	if rps > 0 {
		s.limit = rate.NewLimiter(rate.Limit(rps), max(1, int(burstSeconds*rps)))
	}
	return s
}

// Requests counts the requests that came, and Refused those of them beyond the limit.
func (s *CloudServer) Requests() uint64 { return s.requests.Load() }

// Refused counts the requests that were beyond the limit.
func (s *CloudServer) Refused() uint64 { return s.refused.Load() }

// ServeHTTP answers a request.
func (s *CloudServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	if s.limit != nil && !s.limit.Allow() {
		s.refused.Add(1)
		respond(w, http.StatusTooManyRequests, nil)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		types, err := s.api.MachineTypes(r.Context())
		respondOr503(w, err, map[string]any{"host_kinds": types})
	case "GET /hosts":
		s.serveList(w, r)
	case "POST /hosts":
		s.serveScaleOut(w, r)
	case "POST /hosts/delete":
		s.serveScaleIn(w, r)
	default:
		respond(w, http.StatusBadRequest, nil)
	}
}

// respondOr503 writes an answer, or that the cloud has failed.
func respondOr503(w http.ResponseWriter, err error, body any) {
	if err != nil {
		respond(w, http.StatusServiceUnavailable, map[string]string{"error": "trouble"})
		return
	}
	respond(w, http.StatusOK, body)
}

func (s *CloudServer) serveScaleOut(w http.ResponseWriter, r *http.Request) {
	var in cloud.ScaleOutRequest
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	names, err := s.api.ScaleOut(r.Context(), in)
	if err != nil {
		respond(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
		return
	}
	respond(w, http.StatusOK, map[string]any{"hosts": names})
}

func (s *CloudServer) serveScaleIn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Names []string `json:"hosts"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	respondOr503(w, s.api.ScaleIn(r.Context(), in.Names), struct{}{})
}

// maxPageMachines is the most machines that one answer lists.
const maxPageMachines = 500

func (s *CloudServer) serveList(w http.ResponseWriter, r *http.Request) {
	machines, err := s.list(r.Context(), time.Now())
	if err != nil {
		respondOr503(w, err, nil)
		return
	}
	q := r.URL.Query()
	byName := func(m cloud.Machine, name string) int { return strings.Compare(m.Name, name) }
	from, found := slices.BinarySearchFunc(machines, q.Get("since"), byName)
	if found {
		from++
	}
	to := min(len(machines), from+min(maxPageMachines, intOr(q.Get("page"), maxPageMachines)))
	respond(w, http.StatusOK, map[string]any{"hosts": machines[from:to], "truncated": to < len(machines)})
}

// list returns the latest list that is old enough.
func (s *CloudServer) list(ctx context.Context, now time.Time) ([]cloud.Machine, error) {
	machines, err := s.api.Machines(ctx)
	if err != nil || s.listLag == 0 {
		return machines, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, datedList{now, machines})
	latest := 0
	for latest+1 < len(s.lists) && now.Sub(s.lists[latest+1].at) >= s.listLag {
		latest++
	}
	s.lists = s.lists[latest:]
	if now.Sub(s.lists[0].at) < s.listLag {
		return nil, nil // nothing is known to be there yet
	}
	return s.lists[0].machines, nil
}
