package scaletest

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency summarizes a distribution of durations, in seconds.
type Latency struct {
	Count         int64   `json:"count"`
	P50           float64 `json:"p50_s"`
	P90           float64 `json:"p90_s"`
	P99           float64 `json:"p99_s"`
	Max           float64 `json:"max_s"`
	ShareWithin3S float64 `json:"share_within_3_s"` // share of the durations within urgentStartTarget
}

// histogram records durations from 0.1 ms to one hour. It is safe for concurrent use.
type histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

// Resolution and range of a histogram.
const (
	histogramResolution        = 100 * time.Microsecond
	maxHistogramTime           = time.Hour
	histogramSignificantDigits = 3
)

// urgentStartTarget is the time within which tasks of urgent jobs should start.
const urgentStartTarget = 3 * time.Second

func newHistogram() *histogram {
	return &histogram{
		counts: hdrhistogram.New(1, int64(maxHistogramTime/histogramResolution), histogramSignificantDigits),
	}
}

// add records a duration. Negative durations are recorded as 0, those above the range as its upper
// end.
func (h *histogram) add(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := min(int64(max(0, d)/histogramResolution), h.counts.HighestTrackableValue())
	_ = h.counts.RecordValue(value) // fails only for values out of range
}

func (h *histogram) merge(other *histogram) {
	other.mu.Lock()
	defer other.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.Merge(other.counts)
}

// latency summarizes the durations recorded so far.
func (h *histogram) latency() Latency {
	h.mu.Lock()
	defer h.mu.Unlock()
	quantile := func(percent float64) float64 {
		return (time.Duration(h.counts.ValueAtPercentile(percent)) * histogramResolution).Seconds()
	}
	l := Latency{
		Count: h.counts.TotalCount(),
		P50:   quantile(50),
		P90:   quantile(90),
		P99:   quantile(99),
		Max:   quantile(100),
	}
	if l.Count == 0 {
		return l
	}
	within := int64(0)
	for _, bucket := range h.counts.Distribution() {
		if bucket.To <= int64(urgentStartTarget/histogramResolution) {
			within += bucket.Count
		}
	}
	l.ShareWithin3S = float64(within) / float64(l.Count)
	return l
}
