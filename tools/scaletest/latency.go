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
	ShareWithin float64 `json:"share_within_3_s"` // of urgentLimit
}

// histogram collects times, from a tenth of a millisecond to an hour. Safe for use from
// several goroutines.
type histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

// What a histogram tells apart.
const (
	histogramUnit   = 100 * time.Microsecond
	histogramMax    = time.Hour
	histogramDigits = 3 // that are significant
)

// urgentLimit is the time that urgent work may take to start.
const urgentLimit = 3 * time.Second

func newHistogram() *histogram {
	return &histogram{counts: hdrhistogram.New(1, int64(histogramMax/histogramUnit), histogramDigits)}
}

// add counts a time; one beyond the limits counts as the limit.
func (h *histogram) add(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := min(int64(max(0, d)/histogramUnit), h.counts.HighestTrackableValue())
	_ = h.counts.RecordValue(value) // it is within the limits
}

func (h *histogram) merge(other *histogram) {
	other.mu.Lock()
	defer other.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.Merge(other.counts)
}

// latency sums up the times so far.
func (h *histogram) latency() Latency {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := func(percent float64) float64 {
		return (time.Duration(h.counts.ValueAtPercentile(percent)) * histogramUnit).Seconds()
	}
	l := Latency{
		Count: h.counts.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		Max:   at(100),
	}
	if l.Count == 0 {
		return l
	}
	within := int64(0)
	for _, bar := range h.counts.Distribution() {
		if bar.To <= int64(urgentLimit/histogramUnit) {
			within += bar.Count
		}
	}
	l.ShareWithin = float64(within) / float64(l.Count)
	return l
}
