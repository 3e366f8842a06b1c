package clusteragent

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/machine"
)

// Ranks say who goes first, and gangs of a higher rank preempt what arrays run. A class that
// is stopped as often as it starts never gets on: on a day on
// which machines were lost, tasks of arrays held a fifth of what there was while gangs
// held more than half, and tasks were preempted for more gangs still.
//
// So each class that has work has a fair share: where n classes have work, an n-th of what an
// owner's machines hold. While a class waits with less than its share, a class that has
// more than its own does not stop its tasks. What a waiting class has then falls only by
// its own tasks' ends, and what others have beyond their shares goes, as it ends, to
// whoever is first in the queue. Each owner sees to it for its own machines, by what it
// knows anyway; jobs and machines are spread over owners, so that the fleet's shares are
// those of its owners. Teams without a guarantee where others have one, and work of the
// lowest rank, fill what is spare: they have no share.

// fairShare is what the classes have of an owner's machines. The agent's mutex guards it.
type fairShare struct {
	computedAt time.Time
	usage      map[string]float64   // machines, counted by the largest share of any amount, by class
	machines   float64              // that there are
	waiting    map[string]time.Time // classes that found too little capacity, and when last
}

const (
	// fairShareInterval is how often the machines are added up.
	fairShareInterval = 500 * time.Millisecond
	// waitingFor is how long a class counts as waiting after a request that found too
	// little capacity: its schedulers come again after a second or two.
	waitingFor = 4 * time.Second
)

// current reports whether the usage is as of a moment ago.
func (f *fairShare) current(now time.Time) bool {
	return now.Sub(f.computedAt) < fairShareInterval && f.usage != nil
}

// perClass is what each class that has work may count on, in machines.
func (f *fairShare) perClass() float64 {
	n := len(f.usage)
	for class := range f.waiting {
		if _, has := f.usage[class]; !has {
			n++
		}
	}
	return f.machines / float64(max(1, n))
}

// noteWaiting notes that a class found too little capacity.
func (f *fairShare) noteWaiting(class string, now time.Time) {
	if f.waiting == nil {
		f.waiting = map[string]time.Time{}
	}
	f.waiting[class] = now
}

// hasFairShare reports whether jobs like this one have a fair share.
func (a *Agent) hasFairShare(s *job.Spec) bool {
	return s.Priority() > job.LowestPriority && !a.settings.Unguaranteed(s.Team)
}

// currentFairShare returns the fair share as of a moment ago. The mutex is held.
func (a *Agent) currentFairShare(now time.Time) *fairShare {
	f := &a.fairShare
	if f.current(now) {
		return f
	}
	f.computedAt, f.usage, f.machines = now, map[string]float64{}, 0
	types := a.types()
	for _, m := range a.machines {
		t, known := types[m.Type]
		if !m.Operational() || !known {
			continue
		}
		f.machines++
		for _, task := range m.Tasks() {
			if task.Occupies() && task.Spec != nil && !task.StopRequested() && a.hasFairShare(task.Spec) {
				f.usage[task.Spec.Class] += task.Spec.DominantShare(job.Capacity(t))
			}
		}
	}
	for class, at := range f.waiting {
		if now.Sub(at) > waitingFor {
			delete(f.waiting, class)
		}
	}
	return f
}

// noteWaitingClass notes that a request found too little capacity. The mutex is held.
func (a *Agent) noteWaitingClass(r *agentapi.Request, now time.Time) {
	if a.hasFairShare(&r.Spec) {
		a.fairShare.noteWaiting(r.Spec.Class, now)
	}
}

// protectedByFairShare reports whether a task on m may not be stopped for the request: its
// class waits with less than its share, and the request's has more than its own and does not
// miss the longest objective for its wait by that. The mutex is held.
func (a *Agent) protectedByFairShare(
	t *machine.Task, r *agentapi.Request, m *ownedMachine, now time.Time,
) bool {
	if !r.Parts || !a.hasFairShare(t.Spec) {
		return false
	}
	waits := a.settings.StartTargets(r.Spec.Class)
	if n := len(waits); n > 0 && waits[n-1]-r.Age <= preemptionTime(r, a.types()[m.Type]) {
		return false
	}
	f := a.currentFairShare(now)
	_, waiting := f.waiting[t.Spec.Class]
	share := f.perClass()
	return waiting && f.usage[t.Spec.Class] < share && f.usage[r.Spec.Class] >= share
}
