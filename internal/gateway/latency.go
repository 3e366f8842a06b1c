package gateway

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gofiber/fiber/v2"
)

// latencies keeps how long answers took, by kind of request.
type latencies struct {
	mu    sync.Mutex
	kinds map[string]*hdrhistogram.Histogram
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

// longestAnswer is the upper end of the distributions, in microseconds.
const longestAnswer = 10_000_000

var requestKinds = []string{"submission", "query", "cancellation", "report"}

func newLatencies() *latencies {
	l := &latencies{kinds: map[string]*hdrhistogram.Histogram{}}
	for _, k := range requestKinds {
		l.kinds[k] = hdrhistogram.New(1, longestAnswer, 2)
	}
	return l
}

// timed measures a handler.
func (l *latencies) timed(kind string, handler fiber.Handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		start := time.Now()
		err := handler(c)
		l.note(kind, time.Since(start))
		return err
	}
}

func (l *latencies) note(kind string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.kinds[kind].RecordValue(min(longestAnswer, max(1, d.Microseconds())))
}

func (l *latencies) show() []Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Latency
	for _, k := range requestKinds {
		h := l.kinds[k]
		ms := func(us int64) float64 { return float64(us) / 1000 }
		out = append(out, Latency{Request: k, Count: h.TotalCount(), P50Ms: ms(h.ValueAtQuantile(50)), P95Ms: ms(h.ValueAtQuantile(95)), P99Ms: ms(h.ValueAtQuantile(99)), MaxMs: ms(h.Max())})
	}
	return out
}
