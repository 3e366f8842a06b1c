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
	// lookupPause is the time between two rounds of reading records: heartbeats come in
	// groups.
	lookupPause = 100 * time.Millisecond
	// lookupRetryPause is that after a round that failed.
	lookupRetryPause = time.Second
)

// jobLookups is the jobs whose records have to be read. The agent's mutex guards unread and
// done.
type jobLookups struct {
	wanted chan struct{}   // has them read
	unread map[string]bool // by id
	done   chan struct{}   // closed and replaced when some were
}

func newJobLookups() jobLookups {
	return jobLookups{wanted: make(chan struct{}, 1), unread: map[string]bool{}, done: make(chan struct{})}
}

// add has a job's record read once that is triggered.
func (l *jobLookups) add(id string) { l.unread[id] = true }

// trigger has the records read soon, if there are any to read.
func (l *jobLookups) trigger() {
	if len(l.unread) == 0 {
		return
	}
	select {
	case l.wanted <- struct{}{}:
	default:
	}
}

// take returns the jobs to read and leaves none.
func (l *jobLookups) take() map[string]bool {
	ids := l.unread
	l.unread = map[string]bool{}
	return ids
}

// announce wakes those who wait for records to be read.
func (l *jobLookups) announce() {
	close(l.done)
	l.done = make(chan struct{})
}

// lookUpJobs has the records read of jobs whose tasks m turned out to have. The mutex is held.
func (a *Agent) lookUpJobs(m *ownedMachine) {
	for _, t := range m.Tasks() {
		if t.Unverified {
			a.lookups.add(t.Ref.Job)
		}
	}
	a.lookups.trigger()
}

// verifyTasksWhere has the records checked of the jobs of all such tasks, once that is
// triggered. The mutex is held.
func (a *Agent) verifyTasksWhere(which func(*machine.Task) bool) {
	for _, m := range a.machines {
		for _, t := range m.Tasks() {
			if which(t) {
				t.Unverified = true
				a.lookups.add(t.Ref.Job)
			}
		}
	}
}

// OnJobShardMoved has the tasks of a job shard checked against their records: its earlier
// scheduler may have left tasks of jobs that are finished.
func (a *Agent) OnJobShardMoved(jobShard string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.verifyTasksWhere(func(t *machine.Task) bool { return t.JobShard == jobShard })
	a.lookups.trigger()
}

// runLookups reads the records of jobs whose tasks were found on machines, or
// whose scheduler changed: what is finished is stopped, the rest gets its needs.
func (a *Agent) runLookups(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.lookups.wanted:
		}
		a.mu.Lock()
		ids := a.lookups.take()
		a.mu.Unlock()
		err := a.lookUp(ctx, ids)
		pause := lookupPause
		if err != nil {
			slog.Debug("job records read failed", "jobs", len(ids), "err", err)
			pause = lookupRetryPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
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

// lookUp finds the records and takes what was found out of ids.
func (a *Agent) lookUp(ctx context.Context, ids map[string]bool) error {
	a.applyRecords(a.mirroredRecords(ids))
	// What the mirror does not have is finished, or came just now: a read tells.
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

// mirroredRecords returns the records that the mirror has, and takes those and the ones that
// cannot be read out of ids.
func (a *Agent) mirroredRecords(ids map[string]bool) map[string]*job.Record {
	found := map[string]*job.Record{}
	for id := range ids {
		kv, ok := a.mirror.Get(job.RecordKey(id))
		if !ok {
			continue
		}
		delete(ids, id)
		rec, err := job.ParseRecord(kv.Value)
		if err != nil {
			// Nothing is known of the job, so its tasks are left alone; the records
			// of others must not wait for it.
			a.mirror.ReportUndecodable(kv.Key, err)
			continue
		}
		found[id] = rec
	}
	return found
}

// applyRecords takes in records; nil stands for a job that is finished.
func (a *Agent) applyRecords(records map[string]*job.Record) {
	if len(records) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lookups.announce()
	for _, m := range a.machines {
		if applyRecordsTo(m.Machine, records) {
			m.RecordsChanged()
			m.wake()
			a.changes.mark(m)
		}
	}
}

// applyRecordsTo takes the records into the unverified tasks of a machine, and returns whether
// there were any.
func applyRecordsTo(m *machine.Machine, records map[string]*job.Record) (changed bool) {
	for _, t := range m.Tasks() {
		rec, read := records[t.Ref.Job]
		if !read || !t.Unverified {
			continue
		}
		changed = true
		if rec == nil {
			t.SetJobFinished()
		} else {
			t.SetRecord(rec)
		}
	}
	return changed
}
