package soak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"robinstack/emulator"
)

// stateFaults are the faults that a stateGate injects.
type stateFaults struct {
	reject  bool          // every request gets 503
	latency time.Duration // of every request
	late    float64       // share of the transactions that get no answer and are carried out late
	lost    float64       // share of the transactions that are carried out at once and get no answer
}

// stateGate serves the state service to one controller. mu guards the fields below it.
type stateGate struct {
	ctx     context.Context // the end of the run
	service http.Handler

	mu       sync.Mutex
	rng      *rand.Rand
	faults   stateFaults
	affected int // requests that a fault has affected
}

func (g *stateGate) setFaults(f stateFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

func (g *stateGate) affectedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.affected
}

// Bounds of the delay of a late transaction.
const (
	minLateDelay    = 2 * time.Second
	lateDelaySpread = 10 * time.Second
)

// unansweredTimeout is how long a request without an answer is kept open: longer than its client
// waits.
const unansweredTimeout = 6 * time.Second

// ServeHTTP implements http.Handler.
func (g *stateGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isTxn := r.Method == http.MethodPost && r.URL.Path == "/txn"
	g.mu.Lock()
	faults, draw, lateness := g.faults, g.rng.Float64(), g.rng.Float64()
	isLate := isTxn && draw < faults.late
	isLost := isTxn && !isLate && draw < faults.late+faults.lost
	if faults.reject || faults.latency > 0 || isLate || isLost {
		g.affected++
	}
	g.mu.Unlock()
	emulator.Sleep(r.Context(), faults.latency)
	switch {
	case faults.reject:
		w.WriteHeader(http.StatusServiceUnavailable)
	case isLate:
		g.carryOutUnanswered(r, minLateDelay+time.Duration(lateness*float64(lateDelaySpread)))
	case isLost:
		g.carryOutUnanswered(r, 0)
	default:
		g.service.ServeHTTP(w, r)
	}
}

// carryOutUnanswered passes a request on after a delay, and keeps its client waiting.
func (g *stateGate) carryOutUnanswered(r *http.Request, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	copied := r.Clone(g.ctx) //nolint:contextcheck // the copy has to outlive the request
	copied.Body = io.NopCloser(bytes.NewReader(body))
	go func() {
		if emulator.Sleep(g.ctx, delay) {
			g.service.ServeHTTP(httptest.NewRecorder(), copied)
		}
	}()
	emulator.Sleep(r.Context(), unansweredTimeout)
	panic(http.ErrAbortHandler) // closes the connection without an answer
}
