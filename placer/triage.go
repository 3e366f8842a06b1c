package placer

import (
	"cmp"
	"slices"
	"time"

	"robinstack/job"
)

// Where more waits than can be done in time, serving the earliest deadline first keeps
// almost none: each job gets its places just when it is too late for it. So the jobs
// that are given up for a limit are chosen: by the rule of Moore and Hodgson (J. M.
// Moore, "An n job, one machine sequencing algorithm for minimizing the number of late
// jobs", 1968), taken up by their deadlines, and whenever one would be late the largest
// so far is given up. For jobs that are there already and run one after the other
// nothing keeps more. Here they share the GPUs that the placer's tasks of their shape
// have at the moment, and estimates stand for run times, so it is worked out anew
// several times a second; only the queue's order follows from it.

// waiter is a job in the queue.
type waiter struct {
	work float64         // GPU-seconds yet to be done, by the owner's estimate
	left []time.Duration // until each of its limits, tightest first
	last time.Duration   // what its last task takes from its start on
	tier int             // the first of its limits that it is still meant to meet
	j    *jobState
}

// dueIn is the time until the limit that the waiter is meant to meet.
func (w *waiter) dueIn() time.Duration { return w.left[w.tier] }

// triage sets the tiers of jobs that share so many GPUs. Those given up for one limit
// are tried for the next behind all that are meant to meet theirs.
func triage(waiters []*waiter, gpus float64) {
	open := waiters
	var kept []*waiter
	for len(open) > 0 {
		byDue := append(slices.Clone(kept), open...)
		slices.SortStableFunc(byDue, func(a, b *waiter) int { return cmp.Compare(a.dueIn(), b.dueIn()) })
		isOpen := map[*waiter]bool{}
		for _, w := range open {
			isOpen[w] = true
		}
		var up, given []*waiter
		sum := 0.0
		for _, w := range byDue {
			up = append(up, w)
			sum += w.work
			if sum/gpus <= w.dueIn().Seconds() && w.last <= w.dueIn() {
				continue
			}
			// Those that are meant to meet an earlier limit stay.
			worst := -1
			for k, x := range up {
				if isOpen[x] && (worst < 0 || x.work > up[worst].work) {
					worst = k
				}
			}
			if isOpen[w] && w.last > w.dueIn() {
				worst = len(up) - 1
			}
			if worst < 0 {
				continue
			}
			sum -= up[worst].work
			given = append(given, up[worst])
			up = slices.Delete(up, worst, worst+1)
		}
		kept, open = up, nil
		for _, w := range given {
			if w.tier++; w.tier < len(w.left) {
				open = append(open, w)
			}
		}
	}
}

// triageEvery is the time between two triages.
const triageEvery = 500 * time.Millisecond

// sortOut works out which limits the jobs in the queue are meant to meet.
func (p *Placer) sortOut() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	groups, gpus := map[*shape][]*waiter{}, map[*shape]float64{}
	for _, j := range p.jobs {
		if j.over != "" || j.spec.Shape != job.Array || j.spec.DeadlineS == nil || len(j.limits) == 0 {
			continue
		}
		j.tier = 0
		waiting, running := j.waiting(), 0
		for i := range j.tasks {
			if j.tasks[i].status != pending {
				running++
			}
		}
		size := max(j.spec.GPUs, 1e-3)
		gpus[j.shape] += float64(running) * size
		if waiting == 0 || !now.Before(j.shape.scarceTill) {
			continue
		}
		estimate, fetch := j.spec.EstimateS, p.fetchTime(j.spec).Seconds()/2
		w := &waiter{j: j, last: time.Duration((estimate + fetch) * float64(time.Second)),
			work: size * (float64(waiting)*(estimate+fetch) + float64(running)*estimate/2)}
		for _, limit := range j.limits {
			w.left = append(w.left, limit-now.Sub(j.submitted))
		}
		groups[j.shape] = append(groups[j.shape], w)
	}
	for s, waiters := range groups {
		if gpus[s] <= 0 {
			continue
		}
		slices.SortFunc(waiters, func(a, b *waiter) int { return cmp.Compare(a.j.spec.ID, b.j.spec.ID) })
		triage(waiters, gpus[s])
		for _, w := range waiters {
			w.j.tier = w.tier
		}
	}
}
