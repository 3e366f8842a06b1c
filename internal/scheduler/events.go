package scheduler

import (
	"context"
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/logline"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// OnEntries takes what an agent's machines have become.
func (p *Scheduler) OnEntries(entries []agentapi.MachineEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range entries {
		p.onEntry(&entries[i])
	}
}

func (p *Scheduler) onEntry(e *agentapi.MachineEntry) {
	listed := make(map[agentapi.TaskRef]bool, len(e.Tasks))
	for i := range e.Tasks {
		te := &e.Tasks[i]
		listed[te.TaskRef] = true
		if j := p.jobs[te.Job]; j != nil && te.Index < len(j.tasks) {
			p.onTask(e, te, j)
		}
	}
	for ref := range p.on[e.Machine] {
		j := p.jobs[ref.Job]
		if listed[ref] || j == nil {
			continue
		}
		ts := &j.tasks[ref.Index]
		if ts.status != placed || ts.attempt != ref.Attempt || ts.machine != e.Machine {
			delete(p.on[e.Machine], ref)
			continue
		}
		// Under the owner that it was committed to, an entry made since then
		// decides; under a later owner, any that the worker has confirmed. An
		// unconfirmed one says nothing: its owner does not know yet what runs.
		since := e.Rev > ts.rev || e.Rev == ts.rev && ts.ver != unresolved && e.Ver >= ts.ver
		if e.Gone && e.Rev >= ts.rev || e.Settled && since {
			p.lost(j, ref.Index)
		}
	}
	if len(p.on[e.Machine]) == 0 {
		delete(p.on, e.Machine)
	}
}

func (p *Scheduler) onTask(e *agentapi.MachineEntry, te *agentapi.TaskEntry, j *jobState) {
	ts := &j.tasks[te.Index]
	over := te.State == worker.TaskExited
	item := agentapi.StopItem{Machine: e.Machine, TaskRef: te.TaskRef, Forget: over}
	switch {
	case j.over != "" && j.recorded:
		p.forgets = append(p.forgets, item)
		if ts.attempt == te.Attempt && over {
			p.clear(j, te.Index)
			p.dropIfOver(te.Job, j)
			return
		}
	case over && te.Cause == worker.CauseDone:
		j.ended = append(j.ended, item)
		p.finished(j, te.Index)
		return
	case j.done.Has(te.Index):
		// Another attempt finished it, or another task of its gang.
		p.forgets = append(p.forgets, item)
		return
	}
	if ts.status != pending && ts.attempt != te.Attempt {
		// An attempt that was given up turned up after all.
		p.forgets = append(p.forgets, item)
		return
	}
	if ts.status == pending {
		if over {
			p.forgets = append(p.forgets, item)
			return
		}
		j.attempts = max(j.attempts, te.Attempt)
		ts.attempt = te.Attempt
	}
	j.begun, j.gathers = true, false
	ts.status, ts.machine, ts.zone, ts.rev, ts.ver, ts.state = placed, e.Machine, e.Zone, e.Rev, e.Ver, te.State
	p.noteOn(e.Machine, te.TaskRef)
	if over {
		p.ended(j, te.Index, te.Cause, e.Machine)
		p.forgets = append(p.forgets, item)
		return
	}
	if e.Notice && j.over == "" && (j.spec.CanCheckpoint() || j.spec.Shape == job.Service) {
		// The machine is being taken: save and move on.
		p.stopJobTask(j, te.Index, j.spec.CheckpointDuration()+time.Second)
	}
}

// dropGone gives up tasks on machines whose keys have been removed, which is
// done only once all on them is proven gone. Their owner may have died before
// its last entry got here.
func (p *Scheduler) dropGone() {
	rev := p.mirror.Rev()
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, refs := range p.on {
		if _, ok := p.mirror.Get(statekv.MachinePrefix + name); ok {
			continue
		}
		for ref := range refs {
			j := p.jobs[ref.Job]
			if j == nil {
				delete(refs, ref)
				continue
			}
			if ts := &j.tasks[ref.Index]; ts.status == placed && ts.attempt == ref.Attempt && ts.machine == name && rev > ts.rev {
				p.lost(j, ref.Index)
			}
		}
	}
}

func (p *Scheduler) noteOn(machine string, ref agentapi.TaskRef) {
	if p.on[machine] == nil {
		p.on[machine] = map[agentapi.TaskRef]bool{}
	}
	p.on[machine][ref] = true
}

// clear takes a task off its machine in our books.
func (p *Scheduler) clear(j *jobState, i int) {
	ts := &j.tasks[i]
	delete(p.on[ts.machine], agentapi.TaskRef{Job: j.spec.ID, Index: i, Attempt: ts.attempt})
	*ts = taskState{}
}

// finished notes that a task has completed; a gang completes as a whole.
func (p *Scheduler) finished(j *jobState, i int) {
	first, last := i, i
	if j.spec.Shape == job.Gang {
		first, last = 0, len(j.tasks)-1
	}
	p.clear(j, i)
	p.succeeded(j)
	for k := first; k <= last; k++ {
		if j.done.Has(k) {
			continue
		}
		j.done.Add(k)
		j.doneCount++
		j.dirty[k/job.TasksPerChunk] = true
		if j.dirtyAt.IsZero() {
			j.dirtyAt = time.Now()
		}
	}
	if j.doneCount == len(j.tasks) && j.over == "" {
		j.over, j.overAt = job.Done, time.Now()
		slog.Info(logline.JobCompleted, "job", j.spec.ID, "age", time.Since(j.submitted).Round(time.Millisecond))
	}
	p.wake()
}

// ended notes that a task ended without completing.
func (p *Scheduler) ended(j *jobState, i int, cause, machine string) {
	slog.Info("task attempt ended", "task", job.TaskID(j.spec.ID, i), "cause", cause, "machine", machine)
	if cause == worker.CauseFailed {
		p.failed(j, machine)
	}
	p.lost(j, i)
}

// lost notes that a task is certainly on no machine; a gang is given up.
func (p *Scheduler) lost(j *jobState, i int) {
	p.counters.Lost++
	p.clear(j, i)
	if j.spec.Shape == job.Gang && j.over == "" {
		for k := range j.tasks {
			p.stopTask(j, k, 0)
		}
	}
	p.dropIfOver(j.spec.ID, j)
	p.wake()
}

// stopTask has a task stopped, again and again until it is gone.
func (p *Scheduler) stopTask(j *jobState, i int, grace time.Duration) {
	ts := &j.tasks[i]
	if ts.status != placed || ts.stopping && ts.grace <= grace {
		return
	}
	ts.stopping, ts.grace, ts.stopSent = true, grace, time.Time{}
	p.stops[agentapi.TaskRef{Job: j.spec.ID, Index: i, Attempt: ts.attempt}] = true
}

// stopJobTask stops a task in good order: of a gang, all together.
func (p *Scheduler) stopJobTask(j *jobState, i int, grace time.Duration) {
	if j.spec.Shape != job.Gang {
		p.stopTask(j, i, grace)
		return
	}
	for k := range j.tasks {
		p.stopTask(j, k, grace)
	}
}

func (p *Scheduler) forgetEnded(j *jobState) {
	p.forgets = append(p.forgets, j.ended...)
	j.ended = nil
}

// dropIfOver drops a job that is over, recorded and on no machine.
func (p *Scheduler) dropIfOver(id string, j *jobState) {
	if j.over == "" || !j.recorded || j.busy {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].status != pending {
			return
		}
	}
	delete(p.jobs, id)
}

// sendStops passes stops and forgets to the machines' owners. Agents repeat
// them to the workers; repeating them here covers a change of owner.
func (p *Scheduler) sendStops(ctx context.Context) {
	now := time.Now()
	p.mu.Lock()
	items := p.forgets
	p.forgets = nil
	for ref, ts := range p.stopping() {
		if now.Sub(ts.stopSent) > 2*time.Second {
			ts.stopSent = now
			items = append(items, agentapi.StopItem{Machine: ts.machine, TaskRef: ref, Grace: ts.grace})
		}
	}
	releases := p.releases
	p.releases = nil
	verdicts := p.verdicts
	p.verdicts = nil
	p.mu.Unlock()
	p.sendVerdicts(ctx, verdicts)

	byHost := map[string][]agentapi.StopItem{}
	for _, item := range items {
		if host, ok := p.feed.OwnerHost(item.Machine); ok {
			byHost[host] = append(byHost[host], item)
		}
	}
	for host, items := range byHost {
		go func() {
			cctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			if err := p.call.Call(cctx, host, "Agent.Stop", agentapi.StopRequest{Items: items}, &struct{}{}); err != nil {
				slog.Debug("task stop request failed", "host", host, "err", err)
				p.mu.Lock()
				for _, item := range items {
					if item.Forget && len(p.forgets) < 10_000 {
						p.forgets = append(p.forgets, item)
					}
				}
				p.mu.Unlock()
			}
		}()
	}
	if len(releases) > 0 {
		p.giveBack(ctx, releases)
	}
}

// stopping lists the tasks that are being stopped.
func (p *Scheduler) stopping() map[agentapi.TaskRef]*taskState {
	out := map[agentapi.TaskRef]*taskState{}
	for ref := range p.stops {
		if j := p.jobs[ref.Job]; j != nil {
			if ts := &j.tasks[ref.Index]; ts.status == placed && ts.stopping && ts.attempt == ref.Attempt {
				out[ref] = ts
				continue
			}
		}
		delete(p.stops, ref)
	}
	return out
}
