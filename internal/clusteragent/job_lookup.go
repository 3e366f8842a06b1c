package clusteragent

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/machine"
	"robinstack/internal/statekv"
)

const (
	// lookupInterval is the time between two rounds of record reads. One round serves many
	// heartbeats, because these arrive in groups.
	lookupInterval = 100 * time.Millisecond
	// lookupRetryInterval is the time until the next round after a failed one.
	lookupRetryInterval = time.Second
)

// jobLookups holds the jobs whose records have to be read. Agent.mu guards pending and completed.
type jobLookups struct {
	triggered chan struct{}   // signals runLookups to start a round of reads
	pending   map[string]bool // job ids
	completed chan struct{}   // closed and replaced when records have been read
}

func newJobLookups() jobLookups {
	return jobLookups{triggered: make(chan struct{}, 1), pending: map[string]bool{}, completed: make(chan struct{})}
}

// add registers a job whose record is read after the next trigger.
func (l *jobLookups) add(id string) { l.pending[id] = true }

// trigger starts a round of reads if any job is registered.
func (l *jobLookups) trigger() {
	if len(l.pending) == 0 {
		return
	}
	select {
	case l.triggered <- struct{}{}:
	default:
	}
}

// takePending removes all registered jobs and returns them.
func (l *jobLookups) takePending() map[string]bool {
	ids := l.pending
	l.pending = map[string]bool{}
	return ids
}

// notifyWaiters wakes the goroutines that wait for records to be read.
func (l *jobLookups) notifyWaiters() {
	close(l.completed)
	l.completed = make(chan struct{})
}

// requestLookups starts reading the job records of m's unverified tasks. The caller must hold a.mu.
func (a *Agent) requestLookups(m *ownedMachine) {
	for _, t := range m.Tasks() {
		if t.Unverified {
			a.lookups.add(t.Ref.Job)
		}
	}
	a.lookups.trigger()
}

// markUnverified marks all tasks for which selected returns true as unverified and registers their
// jobs, whose records are read after the next trigger. The caller must hold a.mu.
func (a *Agent) markUnverified(selected func(*machine.Task) bool) {
	for _, m := range a.machines {
		for _, t := range m.Tasks() {
			if selected(t) {
				t.Unverified = true
				a.lookups.add(t.Ref.Job)
			}
		}
	}
}

// OnJobShardMoved checks the tasks of a job shard against their job records: the former scheduler
// may have left tasks of finished jobs.
func (a *Agent) OnJobShardMoved(jobShard string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.markUnverified(func(t *machine.Task) bool { return t.JobShard == jobShard })
	a.lookups.trigger()
}

// runLookups reads the records of jobs whose tasks were found on machines, or whose scheduler
// changed. Tasks of finished jobs are stopped; the others get their resource needs from the record.
func (a *Agent) runLookups(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.lookups.triggered:
		}
		a.mu.Lock()
		ids := a.lookups.takePending()
		a.mu.Unlock()
		err := a.readRecords(ctx, ids)
		delay := lookupInterval
		if err != nil {
			slog.Debug("job records read failed", "jobs", len(ids), "err", err)
			delay = lookupRetryInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		a.mu.Lock()
		if err != nil {
			for id := range ids {
				a.lookups.add(id)
			}
		}
		a.lookups.trigger()
		a.mu.Unlock()
	}
}

// readRecords reads the records of the jobs in ids, applies them, and removes the jobs that were
// read from ids.
func (a *Agent) readRecords(ctx context.Context, ids map[string]bool) error {
	a.applyRecords(a.mirroredRecords(ids))
	// A job that the mirror does not have is finished or was just accepted: a read from the state
	// service tells which.
	for id := range ids {
		kv, err := a.store.Get(ctx, job.RecordKey(id))
		var record *job.Record
		if err == nil {
			record, err = job.ParseRecord(kv.Value)
		}
		if err != nil && !errors.Is(err, statekv.ErrNotFound) {
			return err
		}
		a.applyRecords(map[string]*job.Record{id: record})
		delete(ids, id)
	}
	return nil
}

// mirroredRecords returns the records that the mirror has. It removes these jobs, and those whose
// records cannot be decoded, from ids.
func (a *Agent) mirroredRecords(ids map[string]bool) map[string]*job.Record {
	found := map[string]*job.Record{}
	for id := range ids {
		kv, ok := a.mirror.Get(job.RecordKey(id))
		if !ok {
			continue
		}
		delete(ids, id)
		record, err := job.ParseRecord(kv.Value)
		if err != nil {
			// Nothing is known of the job, so its tasks are left alone. The records of other jobs
			// must not wait for this one.
			a.mirror.ReportUndecodable(kv.Key, err)
			continue
		}
		found[id] = record
	}
	return found
}

// applyRecords applies records to the tasks of their jobs. A nil record stands for a finished job.
func (a *Agent) applyRecords(records map[string]*job.Record) {
	if len(records) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lookups.notifyWaiters()
	for _, m := range a.machines {
		if applyRecordsTo(m.Machine, records) {
			m.OnJobRecordsRead()
			m.wakeSender()
			a.changes.markChanged(m)
		}
	}
}

// applyRecordsTo applies the records to the unverified tasks of a machine, and reports whether it
// had any such tasks.
func applyRecordsTo(m *machine.Machine, records map[string]*job.Record) (changed bool) {
	for _, t := range m.Tasks() {
		record, wasRead := records[t.Ref.Job]
		if !wasRead || !t.Unverified {
			continue
		}
		changed = true
		if record == nil {
			t.SetJobFinished()
		} else {
			t.SetRecord(record)
		}
	}
	return changed
}
