package devcluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"robinstack/emulator"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
	"robinstack/tools/console"
)

// RolloutPlan configures repeated rollouts, and the load of jobs during them.
type RolloutPlan struct {
	Rollouts        int
	PreviousProgram string        // program of the previous build
	RunningTasks    int           // target for the number of tasks that run at the same time
	MeanTasksPerJob float64       // mean number of tasks per job
	MeanTaskSeconds float64       // mean run time of a task
	MaxPause        time.Duration // longest pause after a controller is launched, before the next one is killed
	Warmup          time.Duration // time under load before the first rollout
}

// Upper bounds of the random pauses during a rollout.
const (
	maxRestartPause    = 500 * time.Millisecond // after a controller is killed, before it is launched again
	maxUpgradedPause   = 12 * time.Second       // while all controllers run this build
	maxDowngradedPause = 2 * time.Second        // while all controllers run the previous build
)

const (
	// rolloutsPerSkippedLowering: in one of this many rollouts, the cluster version is not lowered
	// before the rollback.
	rolloutsPerSkippedLowering = 3
	// rolloutsPerProgressReport is the number of rollouts after which progress is printed.
	rolloutsPerProgressReport = 5
	// maxRestarts bounds how often a controller is killed and launched when it is replaced.
	maxRestarts = 2
)

// rolloutRun is the state of RunRollouts.
type rolloutRun struct {
	cluster   *Cluster
	plan      RolloutPlan
	users     *userLoad
	startTime time.Time

	// Cluster versions at the time of each rollback. A version in unloweredVersions was not lowered
	// first, so controllers of the previous build had to be rejected. A version in loweredVersions
	// was.
	unloweredVersions, loweredVersions []int
}

// RunRollouts repeatedly replaces the controllers one by one with this program and then with the
// previous build, while users submit jobs. Controllers are killed without a graceful shutdown, some
// of them twice per replacement. Before a rollback the cluster version is lowered. Every third
// rollout skips this unless the cluster version is 0 or irreversible: the cluster must then reject
// the controllers of the previous build without harm, until they are replaced again.
//
// RunRollouts prints a report. It returns an error if jobs were lost, if an invariant was violated,
// or if the rollouts could not continue.
func (c *Cluster) RunRollouts(ctx context.Context, out io.Writer, plan RolloutPlan) error {
	if plan.PreviousProgram == "" || plan.RunningTasks < 1 || plan.MeanTasksPerJob < 1 || plan.MeanTaskSeconds <= 0 {
		return errors.New("rollouts need --former, --running and --tasks of at least 1, and --seconds above 0")
	}
	users := newUserLoad(c, plan)
	c.Cloud.SetDependencyLookup(users.dependencyTasks)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	load.Go(func() { users.run(loadCtx) })
	emulator.Sleep(ctx, plan.Warmup)
	r := &rolloutRun{cluster: c, plan: plan, users: users, startTime: time.Now()}
	for n := range plan.Rollouts {
		if err := r.rollForwardAndBack(ctx, n); err != nil {
			return err
		}
		if (n+1)%rolloutsPerProgressReport == 0 || n+1 == plan.Rollouts {
			r.printProgress(out, n+1)
		}
	}
	if err := r.replaceAll(ctx, c.options.Program); err != nil {
		return err
	}
	stopLoad()
	load.Wait()
	return r.drainAndReport(ctx, out)
}

// rollForwardAndBack performs rollout number n: to this program and back to the previous build.
func (r *rolloutRun) rollForwardAndBack(ctx context.Context, n int) error {
	c := r.cluster
	if err := r.replaceAll(ctx, c.options.Program); err != nil {
		return err
	}
	c.sendCommand(ctx, rollout.CommandRaise)
	// Once all controllers run this build, users submit jobs with dependencies, and the state
	// service enforces the announced lower limits.
	r.users.allowDependencies()
	c.State.SetSizeLimits(nextLimits.ValueKB*bytesPerKB, nextLimits.TxnOps)
	pauseUpTo(ctx, maxUpgradedPause)
	version := c.clusterVersion()
	if n%rolloutsPerSkippedLowering == rolloutsPerSkippedLowering-1 && version > 0 && !isIrreversible(version) {
		r.unloweredVersions = append(r.unloweredVersions, version)
	} else {
		r.loweredVersions = append(r.loweredVersions, version)
		r.users.forbidDependencies()
		if err := c.lowerVersion(ctx); err != nil {
			return err
		}
	}
	c.State.SetSizeLimits(0, 0) // the previous build respects only the higher limits
	if err := r.replaceAll(ctx, r.plan.PreviousProgram); err != nil {
		return err
	}
	pauseUpTo(ctx, maxDowngradedPause)
	return nil
}

const bytesPerKB = 1024

// replaceAll replaces all controllers, in random order, with controllers that run program.
func (r *rolloutRun) replaceAll(ctx context.Context, program string) error {
	for _, k := range rand.Perm(r.cluster.options.Controllers) {
		for range 1 + rand.IntN(maxRestarts) {
			r.cluster.Kill(k)
			pauseUpTo(ctx, maxRestartPause)
			if err := r.cluster.Launch(ctx, k, program); err != nil {
				return err
			}
			pauseUpTo(ctx, r.plan.MaxPause)
		}
	}
	return ctx.Err()
}

// pauseUpTo waits for a random time between 0 and limit.
func pauseUpTo(ctx context.Context, limit time.Duration) {
	emulator.Sleep(ctx, time.Duration(rand.Float64()*float64(limit)))
}

// isIrreversible reports whether a cluster version includes an irreversible feature. Such a version
// must be lowered before a rollback.
func isIrreversible(version int) bool {
	for _, gate := range rollout.FeatureGates[:version] {
		if gate.Irreversible {
			return true
		}
	}
	return false
}

// lowerTimeout bounds the time for lowering the cluster version, which waits for stored values to
// be migrated back. lowerInterval is the time between the requests to lower it.
const (
	lowerTimeout  = 10 * time.Minute
	lowerInterval = 100 * time.Millisecond
)

// lowerVersion requests the lowering of the cluster version until it is 0, for up to lowerTimeout.
func (c *Cluster) lowerVersion(ctx context.Context) error {
	for deadline := time.Now().Add(lowerTimeout); c.clusterVersion() > 0; time.Sleep(lowerInterval) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("cluster version is still %d after lowering it for %v", c.clusterVersion(), lowerTimeout)
		}
		c.sendCommand(ctx, rollout.CommandLower)
	}
	return nil
}

// commandTimeout bounds the HTTP request of an operator's command.
const commandTimeout = 3 * time.Second

// sendCommand sends an operator's rollout command to the controllers in turn until one accepts it.
func (c *Cluster) sendCommand(ctx context.Context, verb string) {
	client := &http.Client{Timeout: commandTimeout}
	for k := range c.options.Controllers {
		url := "http://" + c.ControllerAddress(k) + "/rollout/" + verb
		// The end of ctx does not abort a command that has been sent.
		request, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodPost, url, nil)
		if err != nil {
			continue
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close() // the status code is sufficient
		if response.StatusCode == http.StatusOK {
			return
		}
	}
}

// clusterVersion returns the number of the cluster version in the state service, or 0 if there is
// none.
func (c *Cluster) clusterVersion() int {
	for _, kv := range c.State.ListAll(statekv.ClusterVersionKey) {
		if v, err := rollout.ParseClusterVersion(kv.Value); err == nil {
			return v.Number
		}
	}
	return 0
}

// maxShownProgressViolations bounds the violations that a progress report shows.
const maxShownProgressViolations = 5

func (r *rolloutRun) printProgress(out io.Writer, rollouts int) {
	u, starts, workerViolations := r.users, r.cluster.Cloud.TaskStarts(), len(r.cluster.Cloud.Violations())
	u.mu.Lock()
	defer u.mu.Unlock()
	console.Printf(out, "%d rolls in %v: %d jobs accepted, %d starts, broken: %d here, %d seen by workers %v\n",
		rollouts, time.Since(r.startTime).Round(time.Second), len(u.jobs), starts, len(u.violations), workerViolations,
		firstN(u.violations, maxShownProgressViolations))
}
