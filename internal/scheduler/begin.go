package scheduler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/quota"
	"robinstack/internal/scheduler/candidate"
)

// beginWithin is the time within which every job has to begin, the largest too, once it
// can: operators count it a failed day if they do not.
const beginWithin = 4 * time.Minute

// startsToStarve is when a job goes first in its rank, and room is gathered for it, if no
// task of it has been placed by then: a gang after half of the time, for its machines have
// to come free; others after three quarters, for they begin with the first place. Those
// are mostly jobs that are too late for all their limits, and every minute earlier costs
// others theirs: on kuopio-fleet's loss 0.03 of label-read's deadlines.
func (j *jobState) startsToStarve() time.Duration {
	if j.spec.Shape == job.Gang {
		return beginWithin / 2
	}
	return beginWithin * 3 / 4
}

// firstBatch is how many tasks of an array that starves are placed at once: it has to
// begin, and then takes its turn like any other.
const firstBatch = 8

// starves reports whether a job has waited for so long. What fails everywhere does not
// starve.
func (j *jobState) starves(now time.Time) bool {
	return !j.begun && !j.waits && !j.suspect && now.Sub(j.from) > j.startsToStarve()
}

// Orders of jobs that starve: before all others of their rank, and, a sixth of the time
// before its end, before all others at all; gangs earlier. Going first stops nobody's work.
const (
	firstInRank = 5e8
	firstOfAll  = 1e11
)

// turn is the job's place in the queue.
func (p *Scheduler) turn(j *jobState, now time.Time) float64 {
	age := now.Sub(j.from)
	switch {
	case !j.starves(now):
		return p.policy.QueueOrder(j.as, age, j.limits, j.lastWait())
	case age > (beginWithin+j.startsToStarve())/2:
		return firstOfAll + age.Seconds()
	}
	return float64(j.as.Priority())*1e9 + firstInRank + age.Seconds()
}

// gather has room kept for a job that starves, on the machines that will have it
// soonest; candidates are those that have room now. It returns whether some is kept.
func (p *Scheduler) gather(ctx context.Context, j *jobState, req agentapi.Request, candidates []agentapi.Candidate, n int) bool {
	p.mu.Lock()
	starves := j.starves(time.Now())
	p.mu.Unlock()
	if !starves {
		return false
	}
	if j.spec.Shape != job.Gang {
		n = 1 // it begins with its first task
	}
	if !p.limitAllows(ctx, j, req.Epoch, n) && !p.reserve(ctx, j, req.Epoch, n) {
		return false
	}
	req.Tasks = n
	options := p.ask(ctx, "Agent.Gatherable", req).candidates
	candidate.Rank(options)
	chosen := candidate.ChooseFreed(j.spec.OneZone, candidates, options, n)
	if len(chosen) == 0 && len(candidates) == 0 {
		return false
	}
	kept := p.keep(ctx, "Agent.Gather", j, req, chosen, candidates, n)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Gathered++
	j.nextTry = time.Now().Add(gatherPause)
	if !j.gathers {
		j.gathers = true
		slog.Info("backfill reservation complete", "job", j.spec.ID, "class", j.spec.Class, "tasks", len(j.tasks), "age", time.Since(j.from).Round(time.Second), "machines", kept)
	}
	return kept > 0
}

// gatherPause is the time between two tries of a job that gathers.
const gatherPause = 700 * time.Millisecond

// keep has owners keep machines for a job, and what room was found for it already:
// others would take that, and more would have to be kept.
func (p *Scheduler) keep(ctx context.Context, method string, j *jobState, req agentapi.Request, chosen, found []agentapi.Candidate, n int) (kept int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, c := range candidate.AddFound(j.spec.OneZone, chosen, found, n) {
		calls.Go(func() {
			var reply agentapi.CommitReply
			cctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if err := p.call.Call(cctx, c.Host, method, agentapi.CommitRequest{Request: req, Machine: c.Machine, Rev: c.Rev}, &reply); err != nil {
				slog.Debug("machine reservation failed", "method", method, "machine", c.Machine, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if len(reply.Verdicts) > 0 && reply.Verdicts[0] == agentapi.Held {
				kept++
			}
		})
	}
	calls.Wait()
	return kept
}

// reserve has the steward keep what the team's limit leaves for a job that starves, as
// it comes free: otherwise smaller jobs of the team would take it for ever. It returns
// whether all of it is there.
func (p *Scheduler) reserve(ctx context.Context, j *jobState, epoch uint64, n int) bool {
	if !p.settings.HasQuota(j.spec.Team) {
		return true
	}
	cctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := p.permits(cctx, quota.Request{Slot: j.slot, Epoch: epoch,
		Reserve: &quota.Reservation{Job: j.spec.ID, Team: j.spec.Team, Need: job.Need{}.AddScaled(j.spec.Need, float64(n)), Since: j.from.UnixMilli()}})
	return err == nil && reply.Reserved
}
