package leader

import "time"

// uses remembers which machines of a pool were idle, and how many of those got work
// lately: as many may be wanted again before a machine rented now would serve. What is
// idle beyond that is returned sooner than the rest. When a day's load ended, each of
// the fleet's last thousand machines stood idle for the whole time after which idle
// ones are returned, which was a twelfth of all that machines cost.
type uses struct {
	window[int] // how many got work
	idle        map[string]bool
}

// window keeps the values of a span of time, and the last one before it.
type window[T any] struct {
	values []T
	times  []time.Time
}

// add takes note of a value and returns whether the whole span has been watched.
func (w *window[T]) add(now time.Time, v T, span time.Duration) (full bool) {
	w.values, w.times = append(w.values, v), append(w.times, now)
	full = now.Sub(w.times[0]) >= span
	for len(w.times) > 1 && now.Sub(w.times[1]) >= span {
		w.values, w.times = w.values[1:], w.times[1:]
	}
	return full
}

const (
	// usesSpan is the time over which machines that got work are counted.
	usesSpan = 20 * time.Second
	// usesDoubt is how many times as many may be wanted, and usesLeast how many in
	// any case.
	usesDoubt = 2
	usesLeast = 2
	// soonShare is the part of the usual time after which what is idle beyond that is
	// returned.
	soonShare = 0.25
)

// look takes note of the machines that are idle now, all of those that there are being
// in present, and returns how many idle ones to keep, or all of them as long as too
// little was seen.
func (u *uses) look(now time.Time, idlers []string, present map[string]bool) (keep int) {
	n := 0
	idle := make(map[string]bool, len(idlers))
	for _, name := range idlers {
		idle[name] = true
	}
	for name := range u.idle {
		if !idle[name] && present[name] {
			n++
		}
	}
	u.idle = idle
	if !u.add(now, n, usesSpan) {
		return len(idlers)
	}
	sum := 0
	for _, n := range u.values {
		sum += n
	}
	return usesLeast + usesDoubt*sum
}
