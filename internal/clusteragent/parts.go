package clusteragent

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

// Ranks say who goes first, and gangs of a higher rank have room made by stopping what
// arrays run. A class that is stopped as often as it starts never gets on: on a day on
// which machines were lost, tasks of arrays held a fifth of what there was while gangs
// held more than half, and room was made for more gangs still.
//
// So each class that has work has a part: where n classes have work, an n-th of what an
// owner's machines hold. While a class waits with less than its part, a class that has
// more than its own does not stop its tasks. What a waiting class has then falls only by
// its own tasks' ends, and what others have beyond their parts goes, as it ends, to
// whoever is first in the queue. Each owner sees to it for its own machines, by what it
// knows anyway; jobs and machines are spread over owners, so that the fleet's parts are
// those of its owners. Teams without a guarantee where others have one, and work of the
// lowest rank, fill what is spare: they have no part.

// fairShare is what the classes have of an owner's machines. The agent's mutex guards it.
type fairShare struct {
	computedAt time.Time
	usage      map[string]float64   // machines, counted by the largest share of any amount, by class
	machines   float64              // machines that there are
	waiting    map[string]time.Time // classes that found too little room, and when last
}

const (
	// fairShareInterval is how often the machines are added up.
	fairShareInterval = 500 * time.Millisecond
	// waitingFor is how long a class counts as waiting after a request that found too
	// little room: its placers come again after a second or two.
	waitingFor = 4 * time.Second
)

// hasFairShare reports whether jobs like this one have a part.
func (a *Agent) hasFairShare(s *job.Spec) bool {
	return s.Priority() > job.LowestPriority && !a.settings.Unguaranteed(s.Team)
}

// currentFairShare returns the parts as of a moment ago. The mutex is held.
func (a *Agent) currentFairShare(now time.Time) *fairShare {
	p := &a.fairShare
	if now.Sub(p.computedAt) < fairShareInterval && p.usage != nil {
		return p
	}
	p.computedAt, p.usage, p.machines = now, map[string]float64{}, 0
	types := a.types()
	for _, m := range a.machines {
		t, known := types[m.typeName]
		if m.gone || m.removing || !known {
			continue
		}
		p.machines++
		for _, t2 := range m.tasks {
			if t2.occupies() && t2.spec != nil && !t2.stopRequested && a.hasFairShare(t2.spec) {
				p.usage[t2.spec.Class] += t2.spec.DominantShare(job.Capacity(t))
			}
		}
	}
	for class, at := range p.waiting {
		if now.Sub(at) > waitingFor {
			delete(p.waiting, class)
		}
	}
	return p
}

// perClass is what each class that has work may count on.
func (p *fairShare) perClass() float64 {
	n := len(p.usage)
	for class := range p.waiting {
		if _, has := p.usage[class]; !has {
			n++
		}
	}
	return p.machines / float64(max(1, n))
}

// noteWaitingClass notes that a request found too little room.
func (a *Agent) noteWaitingClass(r *agentapi.Request, now time.Time) {
	if !a.hasFairShare(&r.Spec) {
		return
	}
	if a.fairShare.waiting == nil {
		a.fairShare.waiting = map[string]time.Time{}
	}
	a.fairShare.waiting[r.Spec.Class] = now
}

// protectedByFairShare reports whether a task on m may not be stopped for the request: its class waits
// with less than its part, and the request's has more than its own and does not miss the
// users' longest aim for its wait by that.
func (a *Agent) protectedByFairShare(t *task, r *agentapi.Request, m *machine, now time.Time) bool {
	if !r.Parts || !a.hasFairShare(t.spec) {
		return false
	}
	if waits := a.settings.StartTargets(r.Spec.Class); len(waits) > 0 && waits[len(waits)-1]-r.Age <= preemptionTime(r, a.types()[m.typeName]) {
		return false
	}
	p := a.currentFairShare(now)
	_, waits := p.waiting[t.spec.Class]
	part := p.perClass()
	return waits && p.usage[t.spec.Class] < part && p.usage[r.Spec.Class] >= part
}
