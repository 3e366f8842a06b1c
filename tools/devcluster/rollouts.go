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

	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
	"robinstack/tools/console"
)

// RolloutPlan says how often to roll, from and to what, and what goes on meanwhile.
type RolloutPlan struct {
	Rollouts      int
	FormerProgram string        // program of the former version
	RunningTasks  int           // tasks that are to run at a time
	MeanTasks     float64       // of a job
	MeanSeconds   float64       // that a task runs
	MaxPause      time.Duration // between the end of a controller's start and the next one's end
	Warmup        time.Duration // before the first rollout
}

// Pauses while controllers are replaced, each drawn from nothing to so much.
const (
	maxRestartPause  = 500 * time.Millisecond // between a controller's end and its start
	maxUpgradedPause = 12 * time.Second       // with all controllers on this version
	maxFormerPause   = 2 * time.Second        // with all on the former one
)

const (
	// keepVersionEvery: the cluster version is not lowered before one in so many ways back.
	keepVersionEvery = 3
	// progressEvery is after how many rollouts it is told how they go.
	progressEvery = 5
	// maxRestarts is how often a controller is ended at most when it is replaced.
	maxRestarts = 2
)

// rolloutRun is rollouts under load.
type rolloutRun struct {
	cluster   *Cluster
	plan      RolloutPlan
	users     *userLoad
	startTime time.Time

	// Cluster versions from which the way back was begun: without lowering them, so that
	// the former controllers had to be refused, and after lowering them.
	refusedAt, loweredFrom []int
}

// RunRollouts replaces the controllers, one after the other, by this program and back by
// the former one, so many times, under load; each is killed at any moment, some twice. On
// the way back the cluster version is lowered first, or, every third time, not: then the
// former ones must be refused without harm, and are replaced again. It writes what was
// lost. An error says that something was, or that it could not go on.
func (c *Cluster) RunRollouts(ctx context.Context, out io.Writer, plan RolloutPlan) error {
	if plan.FormerProgram == "" || plan.RunningTasks < 1 || plan.MeanTasks < 1 || plan.MeanSeconds <= 0 {
		return errors.New("--former is missing, or the load is none")
	}
	users := newUserLoad(c, plan)
	c.Cloud.CheckDependencies(users.dependencyTasks)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	load.Go(func() { users.run(loadCtx) })
	sleep(ctx, plan.Warmup)
	r := &rolloutRun{cluster: c, plan: plan, users: users, startTime: time.Now()}
	for n := range plan.Rollouts {
		if err := r.rollForwardAndBack(ctx, n); err != nil {
			return err
		}
		if (n+1)%progressEvery == 0 || n+1 == plan.Rollouts {
			r.printProgress(out, n+1)
		}
	}
	if err := r.replaceAll(ctx, c.options.Program); err != nil {
		return err
	}
	stopLoad()
	load.Wait()
	return r.finish(ctx, out)
}

// rollForwardAndBack is the nth rollout: to this program and back.
func (r *rolloutRun) rollForwardAndBack(ctx context.Context, n int) error {
	c := r.cluster
	if err := r.replaceAll(ctx, c.options.Program); err != nil {
		return err
	}
	c.sendCommand(ctx, rollout.CommandRaise)
	// As soon as all are new, users send dependent jobs, and the limits are lowered.
	r.users.allowDependencies()
	c.State.SetSizeLimits(limitsToCome.ValueKB*bytesPerKB, limitsToCome.TxnOps)
	pauseUpTo(ctx, maxUpgradedPause)
	version := c.clusterVersion()
	if n%keepVersionEvery == keepVersionEvery-1 && version > 0 && !isIrreversible(version) {
		r.refusedAt = append(r.refusedAt, version)
	} else {
		r.loweredFrom = append(r.loweredFrom, version)
		r.users.forbidDependencies()
		if err := c.lowerVersion(ctx); err != nil {
			return err
		}
	}
	c.State.SetSizeLimits(0, 0) // the former version keeps to those of before
	if err := r.replaceAll(ctx, r.plan.FormerProgram); err != nil {
		return err
	}
	pauseUpTo(ctx, maxFormerPause)
	return nil
}

const bytesPerKB = 1024

// replaceAll replaces the controllers, in any order, by those of a program.
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

// pauseUpTo waits for a time drawn from nothing to limit.
func pauseUpTo(ctx context.Context, limit time.Duration) {
	sleep(ctx, time.Duration(rand.Float64()*float64(limit)))
}

// isIrreversible reports whether there is no way back from a cluster version: then the
// former version must not be put back without lowering it.
func isIrreversible(version int) bool {
	for _, gate := range rollout.FeatureGates[:version] {
		if gate.Irreversible {
			return true
		}
	}
	return false
}

// How long the cluster version may take to be lowered, for stored values have to be brought
// back first, and how often that is asked for.
const (
	lowerTimeout  = 10 * time.Minute
	lowerInterval = 100 * time.Millisecond
)

// lowerVersion lowers the cluster version to 0, however long it takes to bring stored
// values back.
func (c *Cluster) lowerVersion(ctx context.Context) error {
	for deadline := time.Now().Add(lowerTimeout); c.clusterVersion() > 0; time.Sleep(lowerInterval) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the level is still %d after ten minutes of lowering it", c.clusterVersion())
		}
		c.sendCommand(ctx, rollout.CommandLower)
	}
	return nil
}

// commandTimeout is how long a person's command waits for an answer.
const commandTimeout = 3 * time.Second

// sendCommand gives a person's command to any controller that takes it.
func (c *Cluster) sendCommand(ctx context.Context, verb string) {
	client := &http.Client{Timeout: commandTimeout}
	for k := range c.options.Controllers {
		url := "http://" + c.ControllerAddress(k) + "/rollout/" + verb
		// A command that is on its way is not taken back.
		request, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodPost, url, nil)
		if err != nil {
			continue
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close() // its status says enough
		if response.StatusCode == http.StatusOK {
			return
		}
	}
}

// clusterVersion is the number of the cluster version, as the state service has it.
func (c *Cluster) clusterVersion() int {
	for _, kv := range c.State.ListAll(statekv.ClusterVersionKey) {
		if v, err := rollout.ParseClusterVersion(kv.Value); err == nil {
			return v.Number
		}
	}
	return 0
}

// shownProgressViolations is how many broken rules are shown while rollouts go on.
const shownProgressViolations = 5

func (r *rolloutRun) printProgress(out io.Writer, rollouts int) {
	u, starts, byWorkers := r.users, r.cluster.Cloud.TaskStarts(), len(r.cluster.Cloud.Violations())
	u.mu.Lock()
	defer u.mu.Unlock()
	console.Printf(out, "%d rolls in %v: %d jobs accepted, %d starts, broken: %d here, %d seen by workers %v\n",
		rollouts, time.Since(r.startTime).Round(time.Second), len(u.jobs), starts, len(u.violations), byWorkers,
		firstOf(u.violations, shownProgressViolations))
}
