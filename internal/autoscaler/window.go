package autoscaler

import (
	"slices"
	"time"
)

// window keeps the values observed within a time span, and the last value before it.
type window[T any] struct {
	values []T
	times  []time.Time
}

// add appends a value, drops values that are too old, and reports whether a whole span has been
// observed.
func (w *window[T]) add(now time.Time, value T, span time.Duration) (full bool) {
	w.values, w.times = append(w.values, value), append(w.times, now)
	full = now.Sub(w.times[0]) >= span
	for len(w.times) > 1 && now.Sub(w.times[1]) >= span {
		w.values, w.times = w.values[1:], w.times[1:]
	}
	return full
}

// idleMinimum tracks the least number of idle machines within a time span.
type idleMinimum struct{ window[int] }

// add records a count and returns the least count within the span, or 0 until a whole span has been
// observed.
func (m *idleMinimum) add(now time.Time, count int, span time.Duration) int {
	if !m.window.add(now, count, span) {
		return 0
	}
	return slices.Min(m.values)
}

// subtract subtracts returned machines from the recorded counts.
func (m *idleMinimum) subtract(returned int) {
	for i := range m.values {
		m.values[i] = max(0, m.values[i]-returned)
	}
}

const (
	// backlogSpan is the time over which the growth of the backlog is measured.
	backlogSpan = 20 * time.Second
	// backlogGrowth is the ratio of the backlog to its value one backlogSpan ago above which it
	// counts as growing.
	backlogGrowth = 1.2
)

// backlog records the size, in GPU equivalents, of the tasks that recent plans found no capacity
// for.
type backlog struct{ window[float64] }

func (b *backlog) last() float64 {
	if len(b.values) == 0 {
		return 0
	}
	return b.values[len(b.values)-1]
}

// grows reports whether the backlog has grown by more than the factor backlogGrowth over
// backlogSpan.
func (b *backlog) grows(now time.Time) bool {
	if len(b.times) == 0 || now.Sub(b.times[0]) < backlogSpan {
		return false
	}
	return b.last() > backlogGrowth*b.values[0]
}
