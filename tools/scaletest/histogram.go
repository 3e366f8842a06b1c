package scaletest

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency sums up times, in seconds.
type Latency struct {
	Count       int64   `json:"count"`
	P50         float64 `json:"p50_s"`
	P90         float64 `json:"p90_s"`
	P99         float64 `json:"p99_s"`
	Max         float64 `json:"max_s"`
	ShareWithin float64 `json:"share_within_3_s"`
}

// histogram collects times, from a tenth of a millisecond to an hour, from any goroutine.
type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// unit is the resolution of a histogram.
const unit = 100 * time.Microsecond

// urgentWithin is the time that urgent work may take to start.
const urgentWithin = 3 * time.Second

func newHistogram() *histogram {
	return &histogram{h: hdrhistogram.New(1, int64(time.Hour/unit), 3)}
}

func (h *histogram) add(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(int64(max(0, d)/unit), h.h.HighestTrackableValue()))
}

func (h *histogram) merge(other *histogram) {
	other.mu.Lock()
	defer other.mu.Unlock()
	h.h.Merge(other.h)
}

func (h *histogram) latency() Latency {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := func(percent float64) float64 {
		return (time.Duration(h.h.ValueAtPercentile(percent)) * unit).Seconds()
	}
	l := Latency{Count: h.h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: at(100)}
	if l.Count == 0 {
		return l
	}
	within := int64(0)
	for _, bar := range h.h.Distribution() {
		if bar.To <= int64(urgentWithin/unit) {
			within += bar.Count
		}
	}
	l.ShareWithin = float64(within) / float64(l.Count)
	return l
}
