package clusteragent

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/machine"
)

// Priorities decide which job goes first, and gangs of higher priority preempt tasks of job arrays.
// A class that is preempted as often as it starts tasks makes no progress: on a day on which
// machines were lost, job arrays held a fifth of the capacity and gangs more than half, and tasks
// of the arrays were still preempted for further gangs.
//
// Therefore each class with work has a fair share: with n such classes, 1/n of an owner's machines.
// While a class is waiting and below its share, classes above their own shares do not preempt its
// tasks. Its usage then shrinks only as its own tasks end, and capacity that other classes use
// above their shares goes to the first job in the queue as their tasks end. Each owner enforces
// this for its own machines with the data that it has anyway; jobs and machines are spread over the
// owners, so the shares hold for the whole cluster as well. Jobs of the lowest priority, and jobs
// of teams without a guarantee if any team has one, only use spare capacity and have no share.

// fairShare is the usage of an owner's machines by class. Agent.mu guards it.
type fairShare struct {
	computedAt time.Time
	usage      map[string]float64   // by class, in machines: sum of the tasks' dominant shares
	machines   float64              // number of operational machines
	waiting    map[string]time.Time // classes that found too little capacity, with the time of the last such request
}

const (
	// fairShareRefreshInterval is the minimum time between two computations of the usage.
	fairShareRefreshInterval = 500 * time.Millisecond
	// waitingTimeout is how long a class counts as waiting after a request that found too little
	// capacity; schedulers repeat such requests after a second or two.
	waitingTimeout = 4 * time.Second
)

// isCurrent reports whether the usage was computed within fairShareRefreshInterval.
func (f *fairShare) isCurrent(now time.Time) bool {
	return now.Sub(f.computedAt) < fairShareRefreshInterval && f.usage != nil
}

// machinesPerClass returns the fair share of each class that uses machines or is waiting, in
// machines.
func (f *fairShare) machinesPerClass() float64 {
	n := len(f.usage)
	for class := range f.waiting {
		if _, counted := f.usage[class]; !counted {
			n++
		}
	}
	return f.machines / float64(max(1, n))
}

// recordWaiting records that a class found too little capacity.
func (f *fairShare) recordWaiting(class string, now time.Time) {
	if f.waiting == nil {
		f.waiting = map[string]time.Time{}
	}
	f.waiting[class] = now
}

// hasFairShare reports whether the job counts towards the fair share of its class: it is not of the
// lowest priority, and its team has a guarantee if any team has one.
func (a *Agent) hasFairShare(spec *job.Spec) bool {
	return spec.Priority() > job.LowestPriority && !a.settings.Unguaranteed(spec.Team)
}

// currentFairShare returns the usage by class, recomputed if it is older than
// fairShareRefreshInterval. The caller must hold a.mu.
func (a *Agent) currentFairShare(now time.Time) *fairShare {
	f := &a.fairShare
	if f.isCurrent(now) {
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
		if now.Sub(at) > waitingTimeout {
			delete(f.waiting, class)
		}
	}
	return f
}

// recordWaitingClass records that the request found too little capacity. The caller must hold a.mu.
func (a *Agent) recordWaitingClass(r *agentapi.Request, now time.Time) {
	if a.hasFairShare(&r.Spec) {
		a.fairShare.recordWaiting(r.Spec.Class, now)
	}
}

// protectedByFairShare reports whether fair share forbids preempting a task on m for the request:
// the task's class is waiting and below its share, the request's class is at or above its own, and
// the request would not miss its longest start target as a result. The caller must hold a.mu.
func (a *Agent) protectedByFairShare(
	t *machine.Task, r *agentapi.Request, m *ownedMachine, now time.Time,
) bool {
	if !r.Parts || !a.hasFairShare(t.Spec) {
		return false
	}
	startTargets := a.settings.StartTargets(r.Spec.Class)
	if n := len(startTargets); n > 0 && startTargets[n-1]-r.Age <= preemptionTime(r, a.types()[m.Type]) {
		return false
	}
	f := a.currentFairShare(now)
	_, waiting := f.waiting[t.Spec.Class]
	share := f.machinesPerClass()
	return waiting && f.usage[t.Spec.Class] < share && f.usage[r.Spec.Class] >= share
}
