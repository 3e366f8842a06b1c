package devcluster

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"robinstack/internal/job"
	"robinstack/tools/console"
)

// How long jobs may take to end once the rollouts are over: a minute, and some mean runs.
const (
	minDrainTime  = time.Minute
	drainRuns     = 4
	drainInterval = 50 * time.Millisecond
	drainQueries  = 20 // in each interval
)

// What of long lists is shown in the report.
const (
	shownLostJobs       = 10
	shownSizeViolations = 3
	shownViolations     = 10
)

// errLost says that rollouts did harm.
var errLost = errors.New("something was lost or broken")

// finish waits until all accepted jobs are over, and writes what became of them.
func (r *rolloutRun) finish(ctx context.Context, out io.Writer) error {
	r.drain(ctx)
	lost, _ := r.users.unfinishedAndFinished()
	slices.Sort(lost)
	u, state, tasks := r.users, r.cluster.State, r.cluster.Cloud
	u.mu.Lock()
	defer u.mu.Unlock()
	byStatus := map[string]int{}
	for _, j := range u.jobs {
		byStatus[j.finalStatus]++
	}
	restarts, longestGap := tasks.Restarts()
	tooLarge := state.SizeViolations()
	violations := slices.Concat(u.violations, tasks.Violations())
	console.Printf(out, "%d rolls forward and back; levels lowered from %v, former ones refused at %v\n",
		r.plan.Rollouts, countByVersion(r.loweredFrom), countByVersion(r.refusedAt))
	console.Printf(out, "submissions: %d accepted, %d over 1 s, slowest %v, %d given up by their users\n",
		len(u.jobs), u.slowSubmissions, u.slowestSubmission.Round(time.Millisecond), u.givenUp)
	console.Printf(out, "tasks: %d starts, %d of them of tasks that had been started before; "+
		"longest time without a start %v\n", tasks.TaskStarts(), restarts, longestGap.Round(time.Millisecond))
	console.Printf(out, "jobs: %d done, %d cancelled, %d lost %v\n",
		byStatus[job.Done], byStatus[job.Cancelled], len(lost), firstOf(lost, shownLostJobs))
	console.Printf(out, "pipelines: %d jobs waited for others; refused as too large: %d %v\n",
		u.dependentJobs, len(tooLarge), firstOf(tooLarge, shownSizeViolations))
	console.Printf(out, "rules broken: %d %s\n",
		len(violations), strings.Join(firstOf(violations, shownViolations), "; "))
	if len(violations) > 0 || len(lost) > 0 {
		return errLost
	}
	return nil
}

// drain waits until all accepted jobs are over, asking about them.
func (r *rolloutRun) drain(ctx context.Context) {
	limit := minDrainTime + time.Duration(drainRuns*r.plan.MeanSeconds*float64(time.Second))
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(drainInterval) {
		unfinished, _ := r.users.unfinishedAndFinished()
		if len(unfinished) == 0 {
			return
		}
		for _, id := range firstOf(unfinished, drainQueries) {
			r.users.exchange(ctx, id, query)
		}
	}
}

func countByVersion(versions []int) map[int]int {
	out := map[int]int{}
	for _, n := range versions {
		out[n]++
	}
	return out
}

// firstOf is at most n of a list, from its first on.
func firstOf[T any](list []T, n int) []T { return list[:min(n, len(list))] }

// drawOne draws one of a list, which must not be empty.
func drawOne[T any](list []T) T { return list[rand.IntN(len(list))] }
