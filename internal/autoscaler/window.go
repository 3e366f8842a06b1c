package autoscaler

import (
	"slices"
	"time"
)

// window keeps the values of a span of time, and the last one before it.
type window[T any] struct {
	values []T
	times  []time.Time
}

// add takes in a value and returns whether the whole span has been observed.
func (w *window[T]) add(now time.Time, value T, span time.Duration) (full bool) {
	w.values, w.times = append(w.values, value), append(w.times, now)
	full = now.Sub(w.times[0]) >= span
	for len(w.times) > 1 && now.Sub(w.times[1]) >= span {
		w.values, w.times = w.values[1:], w.times[1:]
	}
	return full
}

// idleMinimum is how many machines were idle at least during a span of time.
type idleMinimum struct{ window[int] }

// add takes in a count and returns the least over the span, or 0 as long as that has not
// been observed whole.
func (m *idleMinimum) add(now time.Time, count int, span time.Duration) int {
	if !m.window.add(now, count, span) {
		return 0
	}
	return slices.Min(m.values)
}

// subtract takes machines that are returned out of what was counted.
func (m *idleMinimum) subtract(returned int) {
	for i := range m.values {
		m.values[i] = max(0, m.values[i]-returned)
	}
}

const (
	// backlogSpan is the time over which a backlog is compared with itself.
	backlogSpan = 20 * time.Second
	// backlogGrowth is how many times as much as a span ago a backlog has to be to count
	// as growing.
	backlogGrowth = 1.2
)

// backlog remembers the size of what found no capacity lately.
type backlog struct{ window[float64] }

func (b *backlog) last() float64 {
	if len(b.values) == 0 {
		return 0
	}
	return b.values[len(b.values)-1]
}

// grows reports whether the backlog is clearly more than a span ago.
func (b *backlog) grows(now time.Time) bool {
	if len(b.times) == 0 || now.Sub(b.times[0]) < backlogSpan {
		return false
	}
	return b.last() > backlogGrowth*b.values[0]
}
