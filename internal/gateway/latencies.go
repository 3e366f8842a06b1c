package gateway

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gofiber/fiber/v2"
)

// latencyRecorder keeps how long answers took, by kind of request.
type latencyRecorder struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// Latency is what the status page shows of a distribution.
type Latency struct {
	Request string  `json:"request"`
	Count   int64   `json:"count"`
	P50Ms   float64 `json:"p50_ms"`
	P95Ms   float64 `json:"p95_ms"`
	P99Ms   float64 `json:"p99_ms"`
	MaxMs   float64 `json:"max_ms"`
}

// maxLatencyMicros is the upper end of the distributions, in microseconds.
const maxLatencyMicros = 10_000_000

var requestKinds = []string{"submission", "query", "cancellation", "report"}

func newLatencyRecorder() *latencyRecorder {
	l := &latencyRecorder{histograms: map[string]*hdrhistogram.Histogram{}}
	for _, k := range requestKinds {
		l.histograms[k] = hdrhistogram.New(1, maxLatencyMicros, 2)
	}
	return l
}

// timed measures a handler.
func (l *latencyRecorder) timed(kind string, handler fiber.Handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		start := time.Now()
		err := handler(c)
		l.record(kind, time.Since(start))
		return err
	}
}

func (l *latencyRecorder) record(kind string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histograms[kind].RecordValue(min(maxLatencyMicros, max(1, d.Microseconds())))
}

func (l *latencyRecorder) summaries() []Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Latency
	for _, k := range requestKinds {
		h := l.histograms[k]
		ms := func(us int64) float64 { return float64(us) / 1000 }
		out = append(out, Latency{Request: k, Count: h.TotalCount(), P50Ms: ms(h.ValueAtQuantile(50)), P95Ms: ms(h.ValueAtQuantile(95)), P99Ms: ms(h.ValueAtQuantile(99)), MaxMs: ms(h.Max())})
	}
	return out
}
