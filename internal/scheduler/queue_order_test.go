package scheduler

import (
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/policy"
)

// A job that has not started precedes all others of its rank after three minutes and all other jobs
// half a minute later; a gang does so after two and after three minutes. A job that has started,
// waits for dependencies or fails on every machine gets no such precedence. Without it, jobs that
// have missed all their completion targets, which the policy's order puts last, starve: in the loss
// scenario of workload kuopio-fleet, jobs with half a thousand tasks waited for eight minutes.
func TestOverdueJobsGoFirst(t *testing.T) {
	pol := policy.Default()
	now := time.Unix(10_000, 0)
	newJob := func(rank string, age time.Duration, started bool) *jobState {
		deadlineS := 60.0
		spec := &job.Spec{ID: "wk-1", Rank: rank, Tasks: 500, EstimateS: 50, DeadlineS: &deadlineS}
		return &jobState{
			spec:              spec,
			effective:         spec,
			phase:             jobRunnable,
			readyAt:           now.Add(-age),
			started:           started,
			completionTargets: []time.Duration{time.Minute},
		}
	}
	order := func(j *jobState) float64 { return j.eligibleOrder(pol, now) }
	late, fresh := newJob("normal", 175*time.Second, false), newJob("normal", time.Second, false)
	if order(late) > order(fresh) {
		t.Error("a job whose start is not overdue precedes a fresh one although it has missed its completion targets")
	}
	overdue := newJob("normal", 185*time.Second, false)
	if order(overdue) < order(fresh) || order(overdue) > order(newJob("high", time.Second, false)) {
		t.Error("an overdue job does not go first in its rank, or precedes a higher rank")
	}
	if order(newJob("best_effort", 215*time.Second, false)) < order(newJob("production", time.Second, false)) {
		t.Error("a job that is overdue for half of the time left until startDeadline does not precede all others")
	}
	gang := newJob("normal", 125*time.Second, false)
	gang.spec.Shape = job.Gang
	if order(gang) < order(fresh) || order(gang) > order(newJob("high", time.Second, false)) {
		t.Error("an overdue gang does not go first in its rank, or precedes a higher rank")
	}
	if order(newJob("normal", 215*time.Second, true)) > order(fresh) {
		t.Error("a job that has started counts as overdue")
	}
	blocked, atFault := newJob("normal", 215*time.Second, false), newJob("normal", 215*time.Second, false)
	blocked.phase, atFault.failures.jobAtFault = jobBlocked, true
	if blocked.startOverdue(now) || atFault.startOverdue(now) {
		t.Error("a job that is blocked or fails on every machine counts as overdue")
	}
}
