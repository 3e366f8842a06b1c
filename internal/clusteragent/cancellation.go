package clusteragent

import (
	"log/slog"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/machine"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// A job whose cancellation was acknowledged to its user must be on no machine cancel_s later,
// whatever has become of its scheduler: that may be refused by the state service, dead,
// starting, or unable to reach this owner, and then nobody else says that its tasks have to
// stop. So ownership keeps the rule itself. An owner never renews the lease of a worker that
// lists a task of a finished job unless the same answer carries the kill of that task: the
// worker that gets the one gets the other, and the one that gets neither loses its lease.
// The argument is in docs/design.md, "What is cancelled goes".

const (
	// cancelledFor is how long a cancelled job is remembered, so that nothing of it is
	// started here. Later, its record tells.
	cancelledFor     = 10 * time.Minute
	maxCancelledJobs = 20_000
	// lookupWait is how long a heartbeat waits for what is not known of its tasks' jobs to
	// be read. Its worker gives up after 4 s.
	lookupWait = 2500 * time.Millisecond
)

// cancellations is what this controller knows of cancelled jobs. The agent's mutex guards it.
type cancellations struct {
	jobs            recentNames // whose cancellation was seen
	acknowledgedRev uint64      // latest revision that was acknowledged to a user, or taken from an owner
}

func newCancellations() cancellations {
	return cancellations{jobs: newRecentNames(cancelledFor, maxCancelledJobs)}
}

// noteAcknowledged notes a cancellation, or a machine taken from another owner, of a revision.
func (c *cancellations) noteAcknowledged(rev uint64) {
	c.acknowledgedRev = max(c.acknowledgedRev, rev)
}

// OnWatchEvents takes what the mirror watches, before it counts as seen: an answer to a worker
// that is given on the strength of that view knows of every cancellation in it. nil says
// that all was read anew.
func (a *Agent) OnWatchEvents(events []statekv.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if events == nil {
		// What was removed in between is in no event.
		a.verifyTasksWhere(func(*machine.Task) bool { return true })
		a.lookups.trigger()
		return
	}
	now := time.Now()
	cancelled, unclear := map[string]bool{}, map[string]bool{}
	for _, e := range events {
		c, ok := tombstone.ChangeOf(e)
		switch {
		case !ok:
		case c.Err != nil:
			unclear[c.ID] = true // whether it was cancelled; that its open record is gone can be read
		case c.Status == job.Cancelled:
			cancelled[c.ID] = true
			a.cancellations.jobs.add(c.ID, now)
		}
	}
	if len(cancelled) == 0 && len(unclear) == 0 {
		return
	}
	a.stopCancelled(cancelled, now)
	a.verifyTasksWhere(func(t *machine.Task) bool { return unclear[t.Ref.Job] })
	a.lookups.trigger()
}

// stopCancelled stops the tasks of jobs that are cancelled. The mutex is held.
func (a *Agent) stopCancelled(jobs map[string]bool, now time.Time) {
	for _, m := range a.machines {
		changed := false
		for key, t := range m.Tasks() {
			if jobs[t.Ref.Job] {
				m.Cancel(key, now)
				changed = true
			}
		}
		if changed {
			m.wake()
			a.changes.mark(m)
		}
	}
}

// StopCancelledJob takes note of a cancellation that is about to be acknowledged to a user,
// before any watch has shown it: its tasks stop now, and none starts here any more. No rule
// depends on this: whoever does not get it sees it by its watch, or is bounded by the lease
// grace period.
func (a *Agent) StopCancelledJob(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.cancellations.jobs.add(id, now)
	a.stopCancelled(map[string]bool{id: true}, now)
}

// Cancelled is Agent.StopCancelledJob, for the controller that tells the user.
func (s *Service) Cancelled(id string, _ *struct{}) error {
	s.agent.StopCancelledJob(id)
	return nil
}

// IsCancellation reports whether a change tells of a cancellation, or may do so.
func IsCancellation(e statekv.Event) bool {
	c, ok := tombstone.ChangeOf(e)
	return ok && (c.Err != nil || c.Status == job.Cancelled)
}

// NoteAcknowledgement notes that a cancellation that this controller has written at a revision
// is about to be acknowledged to a user: the mirror may not show it yet.
func (a *Agent) NoteAcknowledgement(rev uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancellations.noteAcknowledged(rev)
}

// coveredRev is the latest revision that matters to owners of machines and of which this
// controller knows: no cancellation that it has acknowledged to a user by now, and no machine
// that it took from another, is of a later one. What earlier sessions acknowledged, they had
// seen before this one joined. The mutex is held.
func (a *Agent) coveredRev() uint64 {
	return max(a.session.Incarnation, a.cancellations.acknowledgedRev, a.mirror.TrackedRev())
}

// isFinished reports whether a job is finished, for a scheduler that took it for open: either
// its cancellation was seen, or its record, which the scheduler last saw at revision rev, is
// gone by a later one. A scheduler of an earlier version names no revision. The mutex is held.
func (a *Agent) isFinished(id string, rev uint64) bool {
	if a.cancellations.jobs.known(id) {
		return true
	}
	if rev == 0 {
		return false
	}
	seen := a.mirror.Rev() // first: what is absent after that was removed, or is older
	_, open := a.mirror.Get(job.RecordKey(id))
	return !open && seen >= rev
}

// unverifiedTasks lists the tasks of m of which it is not known whether their jobs go on. What
// the mirror has open goes on as of its view, whose age the lease grace period counts in; what
// it does not have is finished, or was accepted so lately that only a read can tell. A damaged
// record is there.
func (a *Agent) unverifiedTasks(m *ownedMachine) []*machine.Task {
	var out []*machine.Task
	for _, t := range m.Tasks() {
		if !t.NeedsVerification() {
			continue
		}
		if _, open := a.mirror.Get(job.RecordKey(t.Ref.Job)); !open {
			out = append(out, t)
		}
	}
	return out
}

// verifyTasks waits for the records of a machine's unverified jobs to be read. Where that
// cannot be done, their tasks are stopped: to stop one of a job that goes on costs its
// time, and to keep one of a cancelled job breaks a promise. The mutex is held before and
// after, not meanwhile.
func (a *Agent) verifyTasks(m *ownedMachine) {
	deadline := time.Now().Add(lookupWait)
	for len(a.unverifiedTasks(m)) > 0 && a.owns(m) {
		done := a.lookups.done
		a.lookups.trigger()
		a.mu.Unlock()
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-done:
		case <-timer.C:
		}
		timer.Stop()
		a.mu.Lock()
		if !time.Now().Before(deadline) {
			break
		}
	}
	for _, t := range a.unverifiedTasks(m) {
		slog.Info("orphaned task stopped", "task", t.ID, "machine", m.Name)
		t.RequestStop(0)
		a.changes.mark(m)
	}
}
