package steward

import "time"

// uses remembers which machines of a pool were idle, and how many of those got work
// lately: as many may be wanted again before a machine rented now would serve. What is
// idle beyond that is returned sooner than the rest. When a day's load ended, each of
// the fleet's last thousand machines stood idle for the whole time after which idle
// ones are returned, which was a twelfth of all that machines cost.
type uses struct {
	idle   map[string]bool
	counts []int
	times  []time.Time
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
	u.counts, u.times = append(u.counts, n), append(u.times, now)
	full := now.Sub(u.times[0]) >= usesSpan
	sum := 0
	for len(u.times) > 1 && now.Sub(u.times[1]) >= usesSpan {
		u.counts, u.times = u.counts[1:], u.times[1:]
	}
	for _, n := range u.counts {
		sum += n
	}
	if !full {
		return len(idlers)
	}
	return usesLeast + usesDoubt*sum
}
