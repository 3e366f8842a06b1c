package scheduler

import (
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/policy"
)

// The queue's order by age: a job that has not begun goes before all others of its rank
// after three minutes, and before all at all half a minute later, gangs after two and three,
// and as any other once it has begun; what waits for others, or fails everywhere, does not.
// Guards against jobs that are too late for all their limits, which the order puts last:
// half a thousand tasks of such waited for eight minutes on kuopio-fleet's loss.
func TestOverdueJobsGoFirst(t *testing.T) {
	pol := policy.Default()
	now := time.Unix(10_000, 0)
	of := func(rank string, age time.Duration, begun bool) *jobState {
		due := 60.0
		spec := &job.Spec{ID: "wk-1", Rank: rank, Tasks: 500, EstimateS: 50, DeadlineS: &due}
		return &jobState{
			spec:      spec,
			effective: spec,
			phase:     jobRunnable,
			readyAt:   now.Add(-age),
			begun:     begun,
			limits:    []time.Duration{time.Minute},
		}
	}
	order := func(j *jobState) float64 { return j.order(pol, now) }
	late, fresh := of("normal", 175*time.Second, false), of("normal", time.Second, false)
	if order(late) > order(fresh) {
		t.Error("one that is too late goes before one that is not, although its start is not overdue")
	}
	overdue := of("normal", 185*time.Second, false)
	if order(overdue) < order(fresh) || order(overdue) > order(of("high", time.Second, false)) {
		t.Error("it goes first in its rank, and not before a higher one")
	}
	if order(of("best_effort", 215*time.Second, false)) < order(of("production", time.Second, false)) {
		t.Error("after three quarters of the time it goes before all")
	}
	gang := of("normal", 125*time.Second, false)
	gang.spec.Shape = job.Gang
	if order(gang) < order(fresh) || order(gang) > order(of("high", time.Second, false)) {
		t.Error("a gang, whose machines have to come free, is overdue earlier")
	}
	if order(of("normal", 215*time.Second, true)) > order(fresh) {
		t.Error("it has begun")
	}
	blocked, broken := of("normal", 215*time.Second, false), of("normal", 215*time.Second, false)
	blocked.phase, broken.failures.jobAtFault = jobBlocked, true
	if blocked.startOverdue(now) || broken.startOverdue(now) {
		t.Error("what waits for others, or fails everywhere, is not overdue")
	}
}
