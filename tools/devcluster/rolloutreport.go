package devcluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"robinstack/internal/job"
	"robinstack/tools/console"
)

// Once the rollouts are complete, accepted jobs have minDrainTime plus drainMeanRunTimes mean task
// run times to finish. Unfinished jobs are queried every drainInterval.
const (
	minDrainTime            = time.Minute
	drainMeanRunTimes       = 4
	drainInterval           = 50 * time.Millisecond
	drainQueriesPerInterval = 20 // queries per drainInterval
)

// Limits on how many entries of each list the report shows.
const (
	maxShownLostJobs       = 10
	maxShownSizeViolations = 3
	maxShownViolations     = 10
)

// errRolloutFailed means that rollouts lost accepted jobs or violated an invariant.
var errRolloutFailed = errors.New("rollouts lost jobs or violated invariants")

// drainAndReport waits until all accepted jobs are finished or the time for that is over, and
// prints the report. It returns an error if jobs were lost or invariants were violated.
func (r *rolloutRun) drainAndReport(ctx context.Context, out io.Writer) error {
	r.drain(ctx)
	lost, _ := r.users.jobsByCompletion()
	slices.Sort(lost)
	u, state, localCloud := r.users, r.cluster.State, r.cluster.Cloud
	u.mu.Lock()
	defer u.mu.Unlock()
	byStatus := map[string]int{}
	for _, j := range u.jobs {
		byStatus[j.finalStatus]++
	}
	restarts, longestGap := localCloud.RestartStats()
	sizeViolations := state.SizeViolations()
	violations := slices.Concat(u.violations, localCloud.Violations())
	console.Printf(out, "%d rolls forward and back; levels lowered from %v, former ones refused at %v\n",
		r.plan.Rollouts, countByVersion(r.loweredVersions), countByVersion(r.unloweredVersions))
	console.Printf(out, "submissions: %d accepted, %d over 1 s, slowest %v, %d given up by their users\n",
		len(u.jobs), u.slowSubmissions, u.slowestSubmission.Round(time.Millisecond), u.abandonedSubmissions)
	console.Printf(out, "tasks: %d starts, %d of them of tasks that had been started before; "+
		"longest time without a start %v\n", localCloud.TaskStarts(), restarts, longestGap.Round(time.Millisecond))
	console.Printf(out, "jobs: %d done, %d cancelled, %d lost %v\n",
		byStatus[job.Done], byStatus[job.Cancelled], len(lost), firstN(lost, maxShownLostJobs))
	console.Printf(out, "pipelines: %d jobs waited for others; refused as too large: %d %v\n",
		u.dependentJobs, len(sizeViolations), firstN(sizeViolations, maxShownSizeViolations))
	console.Printf(out, "rules broken: %d %s\n",
		len(violations), strings.Join(firstN(violations, maxShownViolations), "; "))
	if len(violations) > 0 || len(lost) > 0 {
		return fmt.Errorf("%w: %d jobs lost, %d violations", errRolloutFailed, len(lost), len(violations))
	}
	return nil
}

// drain queries unfinished jobs until all accepted jobs are finished or the time for that is over.
func (r *rolloutRun) drain(ctx context.Context) {
	limit := minDrainTime + time.Duration(drainMeanRunTimes*r.plan.MeanTaskSeconds*float64(time.Second))
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(drainInterval) {
		unfinished, _ := r.users.jobsByCompletion()
		if len(unfinished) == 0 {
			return
		}
		for _, id := range firstN(unfinished, drainQueriesPerInterval) {
			r.users.requestAndCheck(ctx, id, queryRequest)
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

// firstN returns the first n elements of list, or all if it has fewer.
func firstN[T any](list []T, n int) []T { return list[:min(n, len(list))] }

// randomElement returns a random element of list, which must not be empty.
func randomElement[T any](list []T) T { return list[rand.IntN(len(list))] }
