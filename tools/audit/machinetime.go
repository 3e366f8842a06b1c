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

// phaseKeys are the log keys of the phase durations.
var phaseKeys = [phaseCount]string{"fetch_s", "gang_wait_s", "run_s", "checkpoint_s"}

// taskRun is an attempt on a machine, as logged by one owner of the machine.
type taskRun struct {
	job       string
	end       time.Time
	durations [phaseCount]time.Duration
	resources job.Resources
	useful    time.Duration // part of the running phase that contributed to a result
}

// start returns when the attempt was started on its machine.
func (r *taskRun) start() time.Time {
	at := r.end
	for _, d := range r.durations {
		at = at.Add(-d)
	}
	return at
}

// machine is a machine as the log describes it.
type machine struct {
	typeName string // "": not logged
	zone     string
	spot     bool

	scaledOutAt, registeredAt, scaledInAt time.Time // zero: not logged
	unresponsiveSince                     time.Time // zero: never reported as unresponsive
	runs                                  []taskRun
}

// minChargedTime is the minimum time for which a machine that was scaled in is charged.
const minChargedTime = time.Minute

// lifetime is the time for which a machine is charged, and when in it the machine registered.
type lifetime struct{ start, registered, end time.Time }

// lifetime returns the time for which the machine is charged. If the log does not show when the
// machine was scaled out or in, it is charged from the start or to the end of the log. A machine
// that the cloud reclaims is first reported as unresponsive and is scaled in only after that, so it
// is charged until then.
func (m *machine) lifetime(l *Log) lifetime {
	t := lifetime{m.scaledOutAt, m.registeredAt, m.scaledInAt}
	if t.start.IsZero() {
		t.start = l.firstLineAt // added before the log begins
	}
	if t.end.IsZero() {
		t.end = l.lastLineAt
	}
	if !m.scaledInAt.IsZero() && !m.scaledOutAt.IsZero() && t.end.Sub(t.start) < minChargedTime {
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

// use is a share of a machine that belongs to a category for a period of time.
type use struct {
	from, to time.Time
	category string
	share    float64
}

// uses returns the phases of all task runs on the machine. Where only a part of a run was useful,
// it is the first part.
func (m *machine) uses(capacity job.Resources) []use {
	var out []use
	for k := range m.runs {
		run := &m.runs[k]
		share := min(1, run.resources.DominantShare(capacity))
		at := run.start()
		useful := min(run.useful, run.durations[running])
		for _, phase := range []struct {
			category string
			duration time.Duration
		}{
			{Fetch, run.durations[fetching]},
			{GangWait, run.durations[awaitingGang]},
			{Useful, useful},
			{LostWork, run.durations[running] - useful},
			{Checkpoint, run.durations[checkpointing]},
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

// segment is a period of a machine's lifetime in which no share changes. The shares, by category,
// add up to 1.
type segment struct {
	from, to time.Time
	shares   map[string]float64
}

// segments splits the machine's lifetime at every time at which a share changes.
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
		if !s.addTaskShares(uses) {
			s.shares[m.idleCategory(s.from, charged, firstUse, lastUse)] = 1
		}
		out = append(out, s)
	}
	return out
}

// addTaskShares adds the shares of the tasks in the segment, scaled down to 1 in total if they
// overbook the machine, and the share that they leave unused. It reports whether tasks use any
// share of the machine.
func (s *segment) addTaskShares(uses []use) bool {
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

// idleCategory returns the category of a machine without tasks at a point in time.
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
