package clusteragent

import (
	"log/slog"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/machine"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// A job whose cancellation was acknowledged to its user must have no task on any machine after
// cancel_s, whatever the state of its scheduler: the scheduler may be refused by the state service,
// crashed, starting, or unable to reach this owner, and then nothing else requests that the tasks
// stop. The owner of a machine therefore enforces this itself: it renews the lease of a worker that
// lists a task of a finished job only in an answer that also carries the command to kill that task.
// A worker that receives the answer receives both; a worker that does not loses its lease. The
// argument is in docs/design.md, "What is cancelled goes".

const (
	// cancelledRetention is how long a cancelled job is remembered, so that none of its tasks
	// starts here. After that, the missing job record shows that the job is finished.
	cancelledRetention = 10 * time.Minute
	maxCancelledJobs   = 20_000
	// lookupTimeout bounds how long a heartbeat waits until the unread job records of its tasks are
	// read. The worker gives up after 4 s.
	lookupTimeout = 2500 * time.Millisecond
)

// cancellations is what this controller knows of cancelled jobs. Agent.mu guards it.
type cancellations struct {
	jobs            recentNames // jobs whose cancellation was seen
	acknowledgedRev uint64      // latest revision of a cancellation acknowledged to a user, or of a machine taken over
}

func newCancellations() cancellations {
	return cancellations{jobs: newRecentNames(cancelledRetention, maxCancelledJobs)}
}

// recordAcknowledgedRev records the revision of an acknowledged cancellation or of a takeover of a
// machine.
func (c *cancellations) recordAcknowledgedRev(rev uint64) {
	c.acknowledgedRev = max(c.acknowledgedRev, rev)
}

// OnWatchEvents processes events of the mirror's watch before the mirror counts them as seen. An
// answer to a worker that relies on the mirror thus takes into account every cancellation that the
// mirror shows. events is nil if the mirror has been reloaded.
func (a *Agent) OnWatchEvents(events []statekv.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if events == nil {
		// A reload yields no events for the keys that were removed in between.
		a.markUnverified(func(*machine.Task) bool { return true })
		a.lookups.trigger()
		return
	}
	now := time.Now()
	cancelled, undecodable := map[string]bool{}, map[string]bool{}
	for _, e := range events {
		change, ok := tombstone.ChangeOf(e)
		switch {
		case !ok:
		case change.Err != nil:
			undecodable[change.ID] = true // the job record shows whether the job is finished
		case change.Status == job.Cancelled:
			cancelled[change.ID] = true
			a.cancellations.jobs.add(change.ID, now)
		}
	}
	if len(cancelled) == 0 && len(undecodable) == 0 {
		return
	}
	a.stopCancelled(cancelled, now)
	a.markUnverified(func(t *machine.Task) bool { return undecodable[t.Ref.Job] })
	a.lookups.trigger()
}

// stopCancelled stops the tasks of cancelled jobs. The caller must hold a.mu.
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
			m.wakeSender()
			a.changes.markChanged(m)
		}
	}
}

// StopCancelledJob stops the tasks of a job whose cancellation is about to be acknowledged to its
// user, before any watch has shown it, and keeps further tasks of the job from starting here. No
// guarantee depends on this call: a controller that does not receive it sees the cancellation in
// its watch, or is bounded by the lease grace period.
func (a *Agent) StopCancelledJob(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.cancellations.jobs.add(id, now)
	a.stopCancelled(map[string]bool{id: true}, now)
}

// Cancelled calls Agent.StopCancelledJob on behalf of the controller that acknowledges the
// cancellation to the user.
func (s *Service) Cancelled(id string, _ *struct{}) error {
	s.agent.StopCancelledJob(id)
	return nil
}

// IsCancellation reports whether an event shows the cancellation of a job, or may do so.
func IsCancellation(e statekv.Event) bool {
	change, ok := tombstone.ChangeOf(e)
	return ok && (change.Err != nil || change.Status == job.Cancelled)
}

// RecordAcknowledgement records that a cancellation, which this controller wrote at revision rev,
// is about to be acknowledged to its user. The mirror may not show that revision yet.
func (a *Agent) RecordAcknowledgement(rev uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancellations.recordAcknowledgedRev(rev)
}

// coveredRev returns an upper bound on the revisions of the cancellations that this controller has
// acknowledged to users so far and of the machines that it has taken over. The session's
// incarnation covers earlier sessions: they had seen the cancellations that they acknowledged
// before this session opened. The caller must hold a.mu.
func (a *Agent) coveredRev() uint64 {
	return max(a.session.Incarnation, a.cancellations.acknowledgedRev, a.mirror.TrackedRev())
}

// isFinished reports whether a job that its scheduler regards as open is finished: either its
// cancellation was seen, or its record, which the scheduler last saw at revision rev, has been
// removed at a later revision. Schedulers of earlier versions send rev 0. The caller must hold
// a.mu.
func (a *Agent) isFinished(jobID string, rev uint64) bool {
	if a.cancellations.jobs.contains(jobID) {
		return true
	}
	if rev == 0 {
		return false
	}
	mirrorRev := a.mirror.Rev() // before Get: a record missing then is missing at this revision or a later one
	_, open := a.mirror.Get(job.RecordKey(jobID))
	return !open && mirrorRev >= rev
}

// unverifiedTasks returns the tasks of m whose jobs may have finished. If the mirror has the record
// of a job, the job is open as of the mirror's view; the lease grace period accounts for the age of
// that view. Otherwise the job is finished, or was accepted so recently that only a read from the
// state service can tell. A record that cannot be decoded counts as present.
func (a *Agent) unverifiedTasks(m *ownedMachine) []*machine.Task {
	var unverified []*machine.Task
	for _, t := range m.Tasks() {
		if !t.NeedsVerification() {
			continue
		}
		if _, open := a.mirror.Get(job.RecordKey(t.Ref.Job)); !open {
			unverified = append(unverified, t)
		}
	}
	return unverified
}

// verifyTasks waits until the job records of a machine's unverified tasks have been read. Tasks
// whose records cannot be read are stopped: stopping a task of an open job only costs its run time,
// while keeping a task of a cancelled job breaks the cancellation guarantee. The caller must hold
// a.mu, which is released while waiting.
func (a *Agent) verifyTasks(m *ownedMachine) {
	deadline := time.Now().Add(lookupTimeout)
	for len(a.unverifiedTasks(m)) > 0 && a.owns(m) {
		completed := a.lookups.completed
		a.lookups.trigger()
		a.mu.Unlock()
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-completed:
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
		a.changes.markChanged(m)
	}
}
