package gateway

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gofiber/fiber/v2"
)

// Kinds of requests whose latencies are recorded, as named on the status page.
const (
	requestSubmission   = "submission"
	requestQuery        = "query"
	requestCancellation = "cancellation"
	requestHeartbeat    = "report"
)

// requestKinds lists the kinds in the order of the status page.
var requestKinds = []string{requestSubmission, requestQuery, requestCancellation, requestHeartbeat}

const (
	// maxLatencyMicros is the highest recorded latency, in microseconds. Longer latencies are
	// recorded as this one.
	maxLatencyMicros = 10_000_000
	// latencyDigits is the number of significant digits kept of a latency.
	latencyDigits = 2
)

// Latency is the latency distribution of one kind of request, as shown on the status page.
type Latency struct {
	Request string  `json:"request"`
	Count   int64   `json:"count"`
	P50Ms   float64 `json:"p50_ms"`
	P95Ms   float64 `json:"p95_ms"`
	P99Ms   float64 `json:"p99_ms"`
	MaxMs   float64 `json:"max_ms"`
}

// latencyRecorder records response latencies by kind of request.
type latencyRecorder struct {
	mu         sync.Mutex // guards the histograms; the map itself does not change
	histograms map[string]*hdrhistogram.Histogram
}

func newLatencyRecorder() *latencyRecorder {
	l := &latencyRecorder{histograms: map[string]*hdrhistogram.Histogram{}}
	for _, kind := range requestKinds {
		l.histograms[kind] = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	}
	return l
}

// timed wraps a handler so that its latency is recorded.
func (l *latencyRecorder) timed(kind string, handler fiber.Handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		start := time.Now()
		err := handler(c)
		l.record(kind, time.Since(start))
		return err
	}
}

func (l *latencyRecorder) record(kind string, latency time.Duration) {
	micros := min(maxLatencyMicros, max(1, latency.Microseconds()))
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histograms[kind].RecordValue(micros) // cannot fail: micros is within the bounds
}

// summaries returns one entry for each kind of request.
func (l *latencyRecorder) summaries() []Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	var latencies []Latency
	for _, kind := range requestKinds {
		h := l.histograms[kind]
		latencies = append(latencies, Latency{
			Request: kind,
			Count:   h.TotalCount(),
			P50Ms:   milliseconds(h.ValueAtQuantile(50)),
			P95Ms:   milliseconds(h.ValueAtQuantile(95)),
			P99Ms:   milliseconds(h.ValueAtQuantile(99)),
			MaxMs:   milliseconds(h.Max()),
		})
	}
	return latencies
}

func milliseconds(micros int64) float64 { return float64(micros) / 1000 }
