package scaletest

import (
	"context"
	"fmt"
	"os"
	"time"

	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/tools/console"
)

// Intervals of samples of all processes and of progress lines.
const (
	sampleInterval   = time.Second
	progressInterval = 10 * time.Second
)

// sampleUntilEnd schedules the controller faults and samples all processes at each interval until
// the duration of the run is over.
func (r *Run) sampleUntilEnd(ctx context.Context) error {
	r.scheduleControllerFaults(ctx)
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	warmupEnded := false
	for time.Since(r.startTime) < time.Duration(r.profile.Duration)*time.Second {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := time.Now()
		if err := r.sample(now); err != nil {
			return err
		}
		if !warmupEnded && now.Sub(r.startTime) >= time.Duration(r.profile.Warmup)*time.Second {
			warmupEnded = true
			r.endWarmup(now)
		}
		if r.options.Output != nil && int(now.Sub(r.startTime).Seconds())%int(progressInterval.Seconds()) == 0 {
			r.printProgress()
		}
	}
	return nil
}

func (r *Run) endWarmup(now time.Time) {
	for _, m := range append([]*usageMeter{r.loadMeter, r.selfMeter}, r.controllerMeters...) {
		m.endWarmup(now)
	}
}

func (r *Run) printProgress() {
	p := r.load.latestProgress()
	console.Printf(r.options.Output,
		"%4d s: %d machines up, %d registered, %d tasks running, %d starts in the last second, %d jobs open\n",
		p.Second, p.MachinesUp, r.countMachineKeys(), p.TasksRunning, p.Starts, p.OpenJobs)
}

func (r *Run) countMachineKeys() int { return len(r.state.ListAll(statekv.MachinePrefix)) }

// sample samples the resource use of all processes and the size of the state service. It fails if a
// controller has exited unexpectedly or the processes together exceed the host's memory capacity.
func (r *Run) sample(now time.Time) error {
	memoryMB := 0.0
	for k, m := range r.controllerMeters {
		pid := r.controllers.PID(k)
		if pid == 0 && !r.isDown(k) {
			return fmt.Errorf("a controller exited during the run: %w", r.controllers.UnexpectedExit())
		}
		m.sample(pid, now)
		memoryMB += m.residentMB()
	}
	r.loadMeter.sample(r.load.pid(), now)
	r.selfMeter.sample(os.Getpid(), now)
	memoryMB += r.loadMeter.residentMB() + r.selfMeter.residentMB()
	r.maxTotalMemoryMB = max(r.maxTotalMemoryMB, memoryMB)
	if memoryMB > r.host.MemoryMB {
		return fmt.Errorf("%w: its processes use %.0f MB of memory, %.0f MB are allowed (half of the host's memory)",
			ErrInsufficientCapacity, memoryMB, r.host.MemoryMB)
	}
	keys, bytes := r.state.Size()
	r.maxKeys, r.maxStoredBytes = max(r.maxKeys, keys), max(r.maxStoredBytes, bytes)
	r.registered.record(r.countMachineKeys(), r.profile.Machines(), now.Sub(r.startTime).Seconds())
	return nil
}

// scheduleControllerFaults injects the profile's controller faults at their times. Successive
// faults affect successive controllers.
func (r *Run) scheduleControllerFaults(ctx context.Context) {
	next := 0
	for _, f := range r.profile.Faults {
		if f.Kind != ControllerFails {
			continue
		}
		for range f.Count {
			k := next % len(r.nodes)
			next++
			delay := time.Until(r.startTime.Add(seconds(f.At)))
			time.AfterFunc(delay, func() { r.injectControllerFault(ctx, k, seconds(f.For)) })
		}
	}
}

// injectControllerFault kills a controller and restarts it after downtime.
func (r *Run) injectControllerFault(ctx context.Context, k int, downtime time.Duration) {
	r.setDown(k, true)
	r.controllers.Kill(k)
	select {
	case <-ctx.Done():
		return
	case <-time.After(downtime):
	}
	// If the restart fails, the controller stays down and the run continues without it.
	if err := r.controllers.Launch(ctx, k, r.options.Program); err == nil {
		r.setDown(k, false)
	}
}

func (r *Run) setDown(k int, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[k] = down
}

func (r *Run) isDown(k int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down[k]
}

// collectResult returns the measurements of this process.
func (r *Run) collectResult() *Result {
	result := newResult(r.profile)
	result.Registered = r.registered
	result.StateService = StateServiceResult{
		Requests: r.rateLimits.Requests.Load(),
		Renewals: r.rateLimits.Renewals.Load(),
		Watches:  r.rateLimits.Watches.Load(),
		Changes:  r.rateLimits.Changes.Load(),
		Refused:  r.rateLimits.Rejected.Load(),
		MaxKeys:  r.maxKeys,
		MaxBytes: r.maxStoredBytes,
	}
	result.LoadProcess, result.SamplerProcess = r.loadMeter.result(), r.selfMeter.result()
	result.MaxTotalMemoryMB = r.maxTotalMemoryMB
	owned, leader := r.countOwnedMachines(), r.leaderHost()
	for k, n := range r.nodes {
		result.Controllers = append(result.Controllers, ControllerResult{
			Host: n.Host, Zone: n.Zone, Leader: n.Host == leader, Usage: r.controllerMeters[k].result(),
			OwnedMachines: owned[n.Host],
		})
	}
	return result
}

// leaderHost returns the host that holds the leader key, or "" if there is none.
func (r *Run) leaderHost() string {
	for _, kv := range r.state.ListAll(statekv.LeaderKey) {
		if holder, err := statekv.HolderOf(kv); err == nil {
			return holder.Host
		}
	}
	return ""
}

// countOwnedMachines returns the number of machines that each host owns, according to the keys of
// machine shards and machines.
func (r *Run) countOwnedMachines() map[string]int {
	owners, out := map[string]string{}, map[string]int{}
	for _, kv := range r.state.ListAll(statekv.MachineShardPrefix) {
		if holder, err := statekv.HolderOf(kv); err == nil {
			owners[kv.Key[len(statekv.MachineShardPrefix):]] = holder.Host
		}
	}
	for _, kv := range r.state.ListAll(statekv.MachinePrefix) {
		if record := shard.ParseMachineRecord(kv); record != nil {
			out[owners[record.Shard]]++
		}
	}
	return out
}
