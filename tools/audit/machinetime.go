package audit

import (
	"slices"
	"time"

	"robinstack/internal/job"
)

// Phases of a task on its machine, in their order.
const (
	fetching = iota
	awaitingGang
	running
	checkpointing
	phaseCount
)

// phaseFields are the fields that say how long each phase took.
var phaseFields = [phaseCount]string{"fetch_s", "gang_wait_s", "run_s", "checkpoint_s"}

// taskRun is what one attempt at a task did on a machine, as one owner saw it.
type taskRun struct {
	job    string
	end    time.Time
	spent  [phaseCount]time.Duration
	need   job.Resources
	useful time.Duration // of what it ran: what counts in the end
}

// start is when the attempt came to its machine.
func (r *taskRun) start() time.Time {
	at := r.end
	for _, d := range r.spent {
		at = at.Add(-d)
	}
	return at
}

// machine is a machine from its rental to its return.
type machine struct {
	typeName string // "": no line says what it is
	zone     string
	spot     bool

	rentedAt, registeredAt, returnedAt time.Time // zero: no line says when
	unresponsiveSince                  time.Time // zero: it was not given up
	runs                               []taskRun
}

// minChargedTime is what a machine that is returned is charged for at least.
const minChargedTime = time.Minute

// lifetime is when a machine was charged for.
type lifetime struct{ start, registered, end time.Time }

// lifetime is when the machine was charged for, as far as the log tells. One that the cloud
// took becomes unresponsive and is not returned before.
func (m *machine) lifetime(l *Log) lifetime {
	t := lifetime{m.rentedAt, m.registeredAt, m.returnedAt}
	if t.start.IsZero() {
		t.start = l.first // it was there before the log begins
	}
	if t.end.IsZero() {
		t.end = l.last
	}
	if !m.returnedAt.IsZero() && !m.rentedAt.IsZero() && t.end.Sub(t.start) < minChargedTime {
		t.end = t.start.Add(minChargedTime)
	}
	if t.registered.IsZero() || t.registered.After(t.end) {
		t.registered = t.end
	}
	if t.registered.Before(t.start) {
		t.registered = t.start
	}
	return t
}

// use is a share of a machine that goes into a category for some time.
type use struct {
	from, to time.Time
	category string
	share    float64
}

// uses lays the phases of all tasks on the machine's time. Of a run that counts in part the
// first part counts.
func (m *machine) uses(capacity job.Resources) []use {
	var out []use
	for k := range m.runs {
		run := &m.runs[k]
		share := min(1, run.need.DominantShare(capacity))
		at := run.start()
		useful := min(run.useful, run.spent[running])
		for _, phase := range []struct {
			category string
			duration time.Duration
		}{
			{Fetch, run.spent[fetching]},
			{GangWait, run.spent[awaitingGang]},
			{Useful, useful},
			{LostWork, run.spent[running] - useful},
			{Checkpoint, run.spent[checkpointing]},
		} {
			if phase.duration > 0 {
				end := at.Add(phase.duration)
				out = append(out, use{at, end, phase.category, share})
				at = end
			}
		}
	}
	return out
}

// segment is a stretch of a machine's lifetime in which nothing changes; its shares, by
// category, add up to 1.
type segment struct {
	from, to time.Time
	shares   map[string]float64
}

// segments divides the machine's lifetime wherever something changes.
func (m *machine) segments(l *Log) []segment {
	charged := m.lifetime(l)
	uses := m.uses(l.capacity[m.typeName])
	firstUse, lastUse := charged.end, charged.registered
	cuts := []time.Time{charged.start, charged.registered, charged.end}
	for _, u := range uses {
		cuts = append(cuts, u.from, u.to)
		if u.from.Before(firstUse) {
			firstUse = u.from
		}
		if u.to.After(lastUse) {
			lastUse = u.to
		}
	}
	if !m.unresponsiveSince.IsZero() {
		cuts = append(cuts, m.unresponsiveSince)
	}
	slices.SortFunc(cuts, time.Time.Compare)
	var out []segment
	for k := 1; k < len(cuts); k++ {
		s := segment{from: cuts[k-1], to: cuts[k], shares: map[string]float64{}}
		if !s.to.After(s.from) || s.from.Before(charged.start) || s.to.After(charged.end) {
			continue
		}
		if !s.addTasks(uses) {
			s.shares[m.idleCategory(s.from, charged, firstUse, lastUse)] = 1
		}
		out = append(out, s)
	}
	return out
}

// addTasks adds the shares of tasks in the segment, scaled down where they overbook the
// machine, and what they leave unused. It reports whether tasks take anything.
func (s *segment) addTasks(uses []use) bool {
	total := 0.0
	for _, u := range uses {
		if !u.from.After(s.from) && !u.to.Before(s.to) {
			s.shares[u.category] += u.share
			total += u.share
		}
	}
	if total == 0 {
		return false
	}
	for category := range s.shares {
		s.shares[category] /= max(1, total)
	}
	s.shares[UnusedCapacity] += max(0, 1-total)
	return true
}

// idleCategory is what a machine without tasks does at a moment.
func (m *machine) idleCategory(at time.Time, charged lifetime, firstUse, lastUse time.Time) string {
	switch {
	case at.Before(charged.registered):
		return Boot
	case !m.unresponsiveSince.IsZero() && !at.Before(m.unresponsiveSince):
		return Unresponsive
	case at.Before(firstUse):
		return IdleBeforeFirstTask
	case at.Before(lastUse):
		return IdleBetweenTasks
	}
	return IdleAfterLastTask
}
