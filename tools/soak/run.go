package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"robinstack/emulator"
)

// ErrInvalidOptions marks options with which no run can be started.
var ErrInvalidOptions = errors.New("invalid option")

// Options configures runs.
type Options struct {
	Program      string        // path of the robinstack executable
	Duration     time.Duration // time under load and faults
	Controllers  int
	Machines     int     // initial machines
	Cores        float64 // share of a processor core that each controller may use; 0: not limited
	RepeatCalls  bool    // copies of answered calls between controllers arrive, too
	LogDirectory string  // receives a directory for each seed; "": a temporary one, kept if the run fails
	LogLevel     string  // of the controllers
}

// Bounds of the options.
const (
	minDuration, maxDuration       = 15 * time.Second, 4 * time.Hour
	minControllers, maxControllers = 2, 16
	minMachines, maxMachines       = 8, 4000
	minCores                       = 0.1
)

// Check returns an error that wraps ErrInvalidOptions and names the first option that is out of range.
func (o *Options) Check() error {
	switch {
	case o.Duration < minDuration || o.Duration > maxDuration:
		return fmt.Errorf("%w: duration is %v, must be %v to %v",
			ErrInvalidOptions, o.Duration, minDuration, maxDuration)
	case o.Controllers < minControllers || o.Controllers > maxControllers:
		return fmt.Errorf("%w: controllers is %d, must be %d to %d",
			ErrInvalidOptions, o.Controllers, minControllers, maxControllers)
	case o.Machines < minMachines || o.Machines > maxMachines:
		return fmt.Errorf("%w: machines is %d, must be %d to %d",
			ErrInvalidOptions, o.Machines, minMachines, maxMachines)
	case o.Cores != 0 && (o.Cores < minCores || o.Cores >= 1):
		return fmt.Errorf("%w: cores is %v, must be 0 or %v to below 1", ErrInvalidOptions, o.Cores, minCores)
	case o.LogLevel != "info" && o.LogLevel != "debug" && o.LogLevel != "error":
		return fmt.Errorf("%w: level is %q, must be error, info or debug", ErrInvalidOptions, o.LogLevel)
	}
	return nil
}

// Timing at the end of a run.
const (
	readyTimeout = 30 * time.Second
	// settleTime is the time from the end of the last fault until time limits apply.
	settleTime = 3 * time.Second
	// drainTimeout bounds the time from then on until every job has to be finished. It exceeds the
	// time after which a job counts as forgotten, and that after which one waits too long.
	drainTimeout    = 100 * time.Second
	observeInterval = 100 * time.Millisecond
)

// Run runs one seed and returns its report. The error says why the run could not be carried out;
// what the run found is in the report.
func Run(ctx context.Context, o *Options, seed uint64) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	directory, err := o.logDirectory(seed)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := startCluster(ctx, o, seed, directory)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	readyCtx, cancelReady := context.WithTimeout(ctx, readyTimeout)
	defer cancelReady()
	if err := c.controllers.WaitUntilReady(readyCtx); err != nil {
		return nil, err
	}
	r := &Report{Seed: seed, Options: *o, LogDirectory: directory}
	stopObserving := c.startObserving(ctx)
	stopThrottling := c.startThrottling(ctx)
	r.Schedule = c.runLoadAndFaults(ctx, seed)
	stopThrottling()
	c.drain()
	stopObserving()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	c.fillReport(r)
	cancel()
	c.stop()
	r.addLogViolations()
	r.checkActivity()
	return r, r.finish(c.history)
}

// logDirectory creates the directory for the logs of a run.
func (o *Options) logDirectory(seed uint64) (string, error) {
	if o.LogDirectory == "" {
		directory, err := os.MkdirTemp("", fmt.Sprintf("robinstack-soak-%d-", seed))
		if err != nil {
			return "", fmt.Errorf("creating the log directory: %w", err)
		}
		return directory, nil
	}
	directory := filepath.Join(o.LogDirectory, fmt.Sprintf("seed-%d", seed))
	const directoryMode = 0o755
	if err := os.RemoveAll(directory); err != nil {
		return "", fmt.Errorf("removing the logs of an earlier run: %w", err)
	}
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return "", fmt.Errorf("creating the log directory: %w", err)
	}
	return directory, nil
}

// startObserving watches for changes of the leader, for controllers that end by themselves, and for
// jobs that wait too long, until the returned function is called.
func (c *cluster) startObserving(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var observers sync.WaitGroup
	observers.Go(func() {
		for emulator.Sleep(ctx, observeInterval) {
			c.observe()
		}
	})
	observers.Go(func() {
		for emulator.Sleep(ctx, time.Second) {
			c.history.CheckWaitingJobs(c.cloud.HasCapacity)
		}
	})
	return func() { cancel(); observers.Wait() }
}

// startThrottling limits the processor time of the controllers, if the options say so, until the
// returned function is called.
func (c *cluster) startThrottling(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var throttles sync.WaitGroup
	if c.options.Cores > 0 {
		for k := range c.nodes {
			throttles.Go(func() { c.pauses.throttle(ctx, k, c.options.Cores) })
		}
	}
	return func() { cancel(); throttles.Wait() }
}

// runLoadAndFaults injects the faults of the schedule while users are active, and returns the
// schedule with the effects of the faults.
func (c *cluster) runLoadAndFaults(ctx context.Context, seed uint64) []InjectedFault {
	users, stopUsers := context.WithTimeout(ctx, c.options.Duration)
	defer stopUsers()
	var active sync.WaitGroup
	active.Go(func() { c.users.Run(ctx) })
	active.Go(func() { c.queryAtRandom(users, seed) })
	schedule := Schedule(seed, c.options.Duration, len(c.nodes))
	injected := make([]InjectedFault, len(schedule))
	begin := time.Now()
	for i := range schedule {
		injected[i].Fault = schedule[i]
		active.Go(func() {
			if emulator.Sleep(c.ctx, time.Until(begin.Add(schedule[i].At))) {
				injected[i].Affected = c.injectFault(&schedule[i])
			}
		})
	}
	active.Wait()
	return injected
}

// injectFault injects a fault, waits for its duration and ends it. It returns what it affected.
func (c *cluster) injectFault(f *Fault) (affected int) {
	c.history.RecordFault("begins: %v", f)
	injected := kindNamed(f.Kind).inject(c, f)
	emulator.Sleep(c.ctx, f.For)
	injected.end()
	c.history.RecordFault("ends: %v", f)
	return injected.affected()
}

// Shares of the random requests, in percent.
const (
	percentCancel   = 2
	percentResubmit = 10
	percentUnknown  = 3
	percentAll      = 100
	// queryInterval is the mean time between two random requests.
	queryInterval = 60 * time.Millisecond
	// recentJobs is the number of jobs accepted last that get most random requests.
	recentJobs = 40
)

// queryAtRandom queries, cancels and resubmits jobs at random, finished ones included, and queries
// jobs that nobody has submitted, until ctx ends.
func (c *cluster) queryAtRandom(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var requests sync.WaitGroup
	for n := 0; emulator.Sleep(ctx, randomDuration(rng, 2*queryInterval)); n++ {
		ids := c.history.AcceptedJobIDs()
		if len(ids) == 0 {
			continue
		}
		id := ids[rng.IntN(len(ids))]
		if rng.IntN(2) == 0 {
			id = ids[max(0, len(ids)-1-rng.IntN(recentJobs))]
		}
		kind, number := rng.IntN(percentAll), n
		requests.Go(func() {
			spec, _ := c.history.SubmittedSpec(id)
			switch {
			case kind < percentCancel:
				c.users.Cancel(c.ctx, id)
			case kind < percentCancel+percentResubmit:
				c.users.Resubmit(c.ctx, &spec)
			case kind < percentCancel+percentResubmit+percentUnknown:
				c.users.Query(c.ctx, fmt.Sprintf("wk-%d", unknownJobNumbers+number))
			default:
				c.users.Query(c.ctx, id)
			}
		})
	}
	requests.Wait()
}

// unknownJobNumbers is above the numbers of all submitted jobs.
const unknownJobNumbers = 900_000

// drain ends what is left of the faults and waits until all jobs are finished, at most drainTimeout.
func (c *cluster) drain() {
	c.timers.Wait()
	c.pauses.endAll(len(c.nodes))
	for k := range c.nodes {
		c.launch(k)
	}
	c.history.RecordFault("all faults have ended")
	emulator.Sleep(c.ctx, settleTime)
	c.history.RecordFaultsEnded()
	for end := time.Now().Add(drainTimeout); time.Now().Before(end) && !c.history.AllFinal(); {
		if !emulator.Sleep(c.ctx, observeInterval) {
			return
		}
	}
	c.history.CheckFinalState()
}
