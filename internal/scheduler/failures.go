package scheduler

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/worker"
)

// A task that fails blames its machine or its job. A job of which anything has
// succeeded is well, so its failures are the machine's. A job that failed on
// several machines and succeeded on none was submitted with a mistake: it must
// burn neither the fleet nor the good name of machines.

// suspectAfter is on how many machines a job must have failed before it, rather
// than they, is at fault; where it failed on one of them again, two are enough.
const suspectAfter = 3

// avoidFor is how long a job keeps away from machines on which it failed. Where
// there are few, it has to be tried there again.
const avoidFor = 40 * time.Second

// longestBackoff is how long a job that fails everywhere waits at most between
// two tries.
const longestBackoff = time.Minute

// failed notes that a task of the job failed on a machine.
func (p *Scheduler) failed(j *jobState, machine string) {
	p.counters.Failed++
	j.avoid = append(j.avoid, machine)
	if len(j.avoid) > 6 {
		j.avoid = j.avoid[1:]
	}
	now := time.Now()
	j.avoidTill = now.Add(avoidFor)
	if j.doneCount > 0 {
		p.judge(j, machine, true)
		j.nextTry = now.Add(p.policy.ResampleDelay)
		return
	}
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	p.note(j)
	again := j.failedOn[machine]
	j.failedOn[machine] = true
	if !again || j.suspect {
		j.failures++
	}
	j.nextTry = now.Add(backoff(j.failures))
	switch {
	case j.suspect:
		p.judge(j, machine, false)
	case len(j.failedOn) >= suspectAfter || len(j.failedOn) > 1 && again:
		j.suspect = true
		p.counters.Suspects++
		slog.Info("job failing on all machines", "job", j.spec.ID, "class", j.spec.Class, "machines", len(j.failedOn))
		for m := range j.failedOn {
			p.judge(j, m, false)
		}
		for k := range j.tasks {
			// What has not begun to run would fail as well.
			if ts := &j.tasks[k]; ts.state == agentapi.Starting || ts.state == worker.TaskFetching {
				p.stopTask(j, k, 0)
			}
		}
	}
}

// mostNoted is from how many failures in a row on their number is not written any
// more: the pause between two tries does not grow beyond that.
const mostNoted = 6

// note has what is known of the job's failures written into its record soon: its next
// placer would have to fail it on as many machines again.
func (p *Scheduler) note(j *jobState) {
	if j.failures > mostNoted || !p.levels.Enabled(rollout.FeatureFailureHistory) {
		return
	}
	j.noted = true
	if j.dirtyAt.IsZero() {
		j.dirtyAt = time.Now()
	}
}

// record is what is written of an unfinished job. The note of its failures is left out
// where the value would become too large with it.
func (p *Scheduler) record(j *jobState, failures bool) job.Record {
	rec := job.Record{Spec: *j.spec, JobShard: j.slot, SubmittedMS: j.submitted.UnixMilli(), CompletedTasks: j.done.EncodeChunk(0), SpecFragments: j.rest.SpecFragments, UnknownFields: j.rest.UnknownFields, UnknownSpecFields: j.rest.UnknownSpecFields}
	if !failures || len(j.failedOn) == 0 {
		return rec
	}
	on := slices.Sorted(maps.Keys(j.failedOn))
	rec.Failures = &job.FailureHistory{Machines: on[:min(len(on), job.MaxFailedMachines)], Consecutive: j.failures, Suspected: j.suspect}
	if raw, err := json.Marshal(rec); err != nil || len(raw) > p.settings.StateLimits.MaxValueBytes {
		rec.Failures = nil
	}
	return rec
}

// recall takes up what an earlier placer noted.
func (j *jobState) recall(f *job.FailureHistory, now time.Time) {
	if f == nil || j.doneCount > 0 {
		return
	}
	j.failedOn = map[string]bool{}
	for _, m := range f.Machines {
		j.failedOn[m] = true
		j.avoid = append(j.avoid, m)
	}
	j.avoidTill = now.Add(avoidFor)
	j.failures, j.suspect = f.Consecutive, f.Suspected
	j.nextTry = now.Add(backoff(f.Consecutive))
}

// backoff is the pause after so many failures in a row.
func backoff(failures int) time.Duration {
	return min(longestBackoff, time.Second<<min(max(0, failures), 6))
}

// succeeded notes that a task of the job has completed: where others of it
// failed, the machine was at fault.
func (p *Scheduler) succeeded(j *jobState) {
	for m := range j.failedOn {
		p.judge(j, m, true)
	}
	if j.suspect {
		slog.Info("job failure cleared", "job", j.spec.ID)
		j.nextTry = time.Time{}
	}
	j.failedOn, j.failures, j.suspect = nil, 0, false
}

func (p *Scheduler) judge(j *jobState, machine string, atFault bool) {
	p.verdicts = append(p.verdicts, agentapi.Attribution{Machine: machine, Job: j.spec.ID, AtFault: atFault})
}

// batch is how many of the job's tasks one placement looks for.
func (j *jobState) batch() int {
	switch {
	case j.spec.Shape == job.Gang:
		return len(j.tasks)
	case j.suspect:
		return 1
	case j.starves(time.Now()):
		return firstBatch
	}
	return batchTasks
}

// sendVerdicts tells owners what is known of their machines. One that is lost
// does no harm: doubt about a machine passes by itself.
func (p *Scheduler) sendVerdicts(ctx context.Context, verdicts []agentapi.Attribution) {
	byHost := map[string][]agentapi.Attribution{}
	for _, v := range verdicts {
		if host, ok := p.feed.OwnerHost(v.Machine); ok {
			byHost[host] = append(byHost[host], v)
		}
	}
	for host, list := range byHost {
		go func() {
			cctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			if err := p.call.Call(cctx, host, "Agent.Judge", list, &struct{}{}); err != nil {
				slog.Debug("machine health report to owner failed", "host", host, "err", err)
			}
		}()
	}
}
