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

// CloudServer serves the published HTTP protocol of the cloud and forwards the requests to api. It
// adds a rate limit and a lag of the machine list. mu guards snapshots.
type CloudServer struct {
	api     cloud.API
	limit   *rate.Limiter // nil: unlimited
	listLag time.Duration // minimum age of the machine lists that are served

	requests, rateLimited atomic.Uint64

	mu        sync.Mutex
	snapshots []machineListSnapshot // in ascending order of time; used only if listLag is not 0
}

// machineListSnapshot is the list of machines at one point in time.
type machineListSnapshot struct {
	at       time.Time
	machines []cloud.Machine
}

// burstSeconds is the size of the rate limiter's bucket, in seconds of the permitted rate.
const burstSeconds = 2

// NewCloudServer returns a server that admits rps requests per second (0: unlimited), with bursts
// of two seconds' worth of requests, and whose machine lists lag by listLag.
func NewCloudServer(api cloud.API, rps float64, listLag time.Duration) *CloudServer {
	s := &CloudServer{api: api, listLag: listLag}
	if rps > 0 {
		s.limit = rate.NewLimiter(rate.Limit(rps), max(1, int(burstSeconds*rps)))
	}
	return s
}

// Requests returns the number of requests received, including those over the rate limit.
func (s *CloudServer) Requests() uint64 { return s.requests.Load() }

// RateLimited returns the number of requests rejected because of the rate limit.
func (s *CloudServer) RateLimited() uint64 { return s.rateLimited.Load() }

// ServeHTTP implements http.Handler.
func (s *CloudServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	if s.limit != nil && !s.limit.Allow() {
		s.rateLimited.Add(1)
		writeJSON(w, http.StatusTooManyRequests, nil)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		types, err := s.api.MachineTypes(r.Context())
		writeJSONOr503(w, err, map[string]any{"host_kinds": types})
	case "GET /hosts":
		s.serveList(w, r)
	case "POST /hosts":
		s.serveScaleOut(w, r)
	case "POST /hosts/delete":
		s.serveScaleIn(w, r)
	default:
		writeJSON(w, http.StatusBadRequest, nil)
	}
}

// writeJSONOr503 writes body with status 200, or status 503 if err is not nil.
func writeJSONOr503(w http.ResponseWriter, err error, body any) {
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "trouble"})
		return
	}
	writeJSON(w, http.StatusOK, body)
}

func (s *CloudServer) serveScaleOut(w http.ResponseWriter, r *http.Request) {
	var request cloud.ScaleOutRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	names, err := s.api.ScaleOut(r.Context(), request)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"hosts": names})
}

func (s *CloudServer) serveScaleIn(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Names []string `json:"hosts"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	writeJSONOr503(w, s.api.ScaleIn(r.Context(), request.Names), struct{}{})
}

// maxPageMachines is the maximum number of machines in one page of the list.
const maxPageMachines = 500

func (s *CloudServer) serveList(w http.ResponseWriter, r *http.Request) {
	machines, err := s.machinesWithLag(r.Context(), time.Now())
	if err != nil {
		writeJSONOr503(w, err, nil)
		return
	}
	query := r.URL.Query()
	byName := func(m cloud.Machine, name string) int { return strings.Compare(m.Name, name) }
	start, found := slices.BinarySearchFunc(machines, query.Get("since"), byName)
	if found {
		start++
	}
	end := min(len(machines), start+min(maxPageMachines, parseIntOr(query.Get("page"), maxPageMachines)))
	writeJSON(w, http.StatusOK, map[string]any{"hosts": machines[start:end], "truncated": end < len(machines)})
}

// machinesWithLag takes a snapshot of the machine list and returns the newest snapshot that is at
// least listLag old.
func (s *CloudServer) machinesWithLag(ctx context.Context, now time.Time) ([]cloud.Machine, error) {
	machines, err := s.api.Machines(ctx)
	if err != nil || s.listLag == 0 {
		return machines, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = append(s.snapshots, machineListSnapshot{now, machines})
	current := 0
	for current+1 < len(s.snapshots) && now.Sub(s.snapshots[current+1].at) >= s.listLag {
		current++
	}
	s.snapshots = s.snapshots[current:]
	if now.Sub(s.snapshots[0].at) < s.listLag {
		return nil, nil // no snapshot is old enough yet
	}
	return s.snapshots[0].machines, nil
}
