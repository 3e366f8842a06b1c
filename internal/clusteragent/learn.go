package clusteragent

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// lookUpJobs has the records read of jobs whose tasks m turned out to have.
func (a *Agent) lookUpJobs(m *machine) {
	for _, t := range m.tasks {
		if t.verifyJob {
			a.unreadJobs[t.ref.Job] = true
		}
	}
	a.triggerLookup()
}

func (a *Agent) triggerLookup() {
	if len(a.unreadJobs) == 0 {
		return
	}
	select {
	case a.lookupWanted <- struct{}{}:
	default:
	}
}

// runLookups reads the records of jobs whose tasks were found on machines, or
// whose placer changed: what is over is stopped, the rest gets its needs.
func (a *Agent) runLookups(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.lookupWanted:
		}
		a.mu.Lock()
		ids := a.unreadJobs
		a.unreadJobs = map[string]bool{}
		a.mu.Unlock()
		err := a.lookUp(ctx, ids)
		pause := 100 * time.Millisecond // reports come in groups
		if err != nil {
			slog.Debug("job records read failed", "jobs", len(ids), "err", err)
			pause = time.Second
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		a.mu.Lock()
		if err != nil {
			for id := range ids {
				a.unreadJobs[id] = true
			}
		}
		a.triggerLookup()
		a.mu.Unlock()
	}
}

// lookUp finds the records and takes what was found out of ids.
func (a *Agent) lookUp(ctx context.Context, ids map[string]bool) error {
	found := map[string]*job.Record{}
	for id := range ids {
		kv, ok := a.mirror.Get(job.RecordKey(id))
		if !ok {
			continue
		}
		rec, err := job.ParseRecord(kv.Value)
		if err != nil {
			// Nothing is known of the job, so its tasks are left alone; the records
			// of others must not wait for it.
			a.mirror.ReportUndecodable(kv.Key, err)
			delete(ids, id)
			continue
		}
		found[id] = rec
		delete(ids, id)
	}
	a.applyRecords(found)
	// What the mirror does not have is over, or came just now: a read tells.
	for id := range ids {
		kv, err := a.store.Get(ctx, job.RecordKey(id))
		var rec *job.Record
		if err == nil {
			rec, err = job.ParseRecord(kv.Value)
		}
		if err != nil && !errors.Is(err, statekv.ErrNotFound) {
			return err
		}
		a.applyRecords(map[string]*job.Record{id: rec})
		delete(ids, id)
	}
	return nil
}

// applyRecords takes in records; nil stands for a job that is over.
func (a *Agent) applyRecords(records map[string]*job.Record) {
	if len(records) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.lookupDone)
	a.lookupDone = make(chan struct{})
	for _, m := range a.machines {
		changed := false
		for _, t := range m.tasks {
			rec, read := records[t.ref.Job]
			if !read || !t.verifyJob {
				continue
			}
			t.verifyJob, changed = false, true
			if rec == nil {
				t.forgetRequested = true
				t.stopNow()
				t.spec = &job.Spec{}
			} else {
				t.spec, t.jobShard, t.submittedAt, t.sloLimits = &rec.Spec, rec.JobShard, rec.SubmittedAt(), nil
			}
		}
		if changed {
			m.usageChanged()
			m.wake()
			a.markChanged(m)
		}
	}
}

// OnJobShardMoved has the tasks of a slot checked against their records: its earlier
// placer may have left tasks of jobs that are over.
func (a *Agent) OnJobShardMoved(slot string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.machines {
		for _, t := range m.tasks {
			if t.jobShard == slot {
				t.verifyJob = true
				a.unreadJobs[t.ref.Job] = true
			}
		}
	}
	a.triggerLookup()
}
