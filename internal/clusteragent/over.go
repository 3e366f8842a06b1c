package clusteragent

import (
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// A job that its user was told is cancelled must be on no machine cancel_s later, whatever
// has become of its placer: it may be refused by the state service, dead, starting, or
// unable to reach this owner, and then nobody else says that its tasks have to stop. So
// ownership keeps the rule itself. An owner never renews the lease of a worker that lists a
// task of a job that is over unless the same answer carries the kill of that task: the
// worker that gets the one gets the other, and the one that gets neither loses its lease.
// The argument is in docs/design.md, "What is cancelled goes".

const (
	// cancelledFor is how long a cancelled job is kept in mind, so that nothing of it is
	// started here. Later, its record tells.
	cancelledFor     = 10 * time.Minute
	maxCancelledJobs = 20_000
	// lookupWait is how long a report waits for what is not known of its tasks' jobs to
	// be read. Its worker gives up after 4 s.
	lookupWait = 2500 * time.Millisecond
)

// OnWatchEvents takes what the mirror follows, before it counts as seen: an answer to a worker
// that is given on the strength of that view knows of every cancellation in it. nil says
// that all was read anew.
func (a *Agent) OnWatchEvents(events []statekv.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if events == nil {
		// What was removed in between is in no event.
		for _, m := range a.machines {
			for _, t := range m.tasks {
				t.verifyJob = true
				a.unreadJobs[t.ref.Job] = true
			}
		}
		a.triggerLookup()
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
			a.rememberCancelled(c.ID, now)
		}
	}
	if len(cancelled) == 0 && len(unclear) == 0 {
		return
	}
	a.stopCancelled(cancelled)
	for _, m := range a.machines {
		for _, t := range m.tasks {
			if unclear[t.ref.Job] {
				t.verifyJob = true
				a.unreadJobs[t.ref.Job] = true
			}
		}
	}
	a.triggerLookup()
}

// stopCancelled stops the tasks of jobs that are cancelled. The mutex is held.
func (a *Agent) stopCancelled(jobs map[string]bool) {
	for _, m := range a.machines {
		changed := false
		for key, t := range m.tasks {
			if jobs[t.ref.Job] {
				m.cancelTask(key, t)
				changed = true
			}
		}
		if changed {
			m.wake()
			a.markChanged(m)
		}
	}
}

// StopCancelledJob takes note of a cancellation that a user is about to be told, before any watch
// has shown it: its tasks stop now, and none starts here any more. No rule depends on
// this: whoever does not hear of it sees it by its watch, or is bounded by the hold time.
func (a *Agent) StopCancelledJob(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rememberCancelled(id, time.Now())
	a.stopCancelled(map[string]bool{id: true})
}

// Cancelled is Agent.Cancelled, for the controller that tells the user.
func (s *Service) Cancelled(id string, _ *struct{}) error {
	s.agent.StopCancelledJob(id)
	return nil
}

// IsCancellation reports whether a change tells of a cancellation, or may do so.
func IsCancellation(e statekv.Event) bool {
	c, ok := tombstone.ChangeOf(e)
	return ok && (c.Err != nil || c.Status == job.Cancelled)
}

// NoteAcknowledgement notes that a user is about to be told of a cancellation that this controller has
// written at a revision: the mirror may not show it yet.
func (a *Agent) NoteAcknowledgement(rev uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acknowledgedRev = max(a.acknowledgedRev, rev)
}

// coveredRev is the latest revision that matters to owners of machines and of which this
// controller knows: no cancellation that it has told a user by now, and no machine that it
// took from another, is of a later one. What earlier lives told, they had seen before this
// one joined. The mutex is held.
func (a *Agent) coveredRev() uint64 {
	return max(a.member.Incarnation, a.acknowledgedRev, a.mirror.TrackedRev())
}

// stillOurs reports whether a machine is ours by the keys that the mirror shows. While this
// controller is certain of its lease that is looked after all the time (reconcileOwnership).
func (a *Agent) stillOurs(m *machine) bool {
	if a.member.HoldsLease() {
		return true
	}
	kv, ok := a.mirror.Get(statekv.MachinePrefix + m.name)
	holder, rev := shard.OwnerOf(a.mirror, kv)
	return ok && holder == a.member.Holder && rev <= m.ownershipRev
}

// rememberCancelled keeps a cancelled job in mind. The mutex is held.
func (a *Agent) rememberCancelled(id string, now time.Time) {
	if len(a.cancelledJobs) >= maxCancelledJobs {
		for old, at := range a.cancelledJobs {
			if now.Sub(at) > cancelledFor || len(a.cancelledJobs) >= maxCancelledJobs {
				delete(a.cancelledJobs, old)
			}
		}
	}
	a.cancelledJobs[id] = now
}

// isFinished reports whether a job is over, for a placer that took it for open: either its
// cancellation was seen, or its record, which the placer last saw at revision rev, is gone
// by a later one. A placer of an earlier version names no revision.
func (a *Agent) isFinished(id string, rev uint64) bool {
	if _, over := a.cancelledJobs[id]; over {
		return true
	}
	if rev == 0 {
		return false
	}
	seen := a.mirror.Rev() // first: what is absent after that was removed, or is older
	_, open := a.mirror.Get(job.RecordKey(id))
	return !open && seen >= rev
}

// cancelTask has a task of a cancelled job stopped, with no time to save: whatever it does is
// of no use to anybody.
func (m *machine) cancelTask(key attemptKey, t *task) {
	switch {
	case t.state == stateReserved || t.state == agentapi.Starting && !t.startSent:
		t.resolve(agentapi.Refused)
		m.removeTask(key)
	default:
		t.forgetRequested = true
		t.stopNow()
	}
}

// stopNow has a task stopped at once, also one that saves.
func (t *task) stopNow() {
	if !t.stopRequested || t.stopGrace > 0 {
		t.stopRequested, t.stopGrace, t.stopFirstSent, t.stopLastSent = true, 0, time.Time{}, time.Time{}
	}
}

// unverifiedTasks lists the tasks of m of which it is not known whether their jobs go on. What
// the mirror has open goes on as of its view, whose age the hold time counts in; what it
// does not have is over, or was accepted so lately that only a read can tell. A damaged
// record is there.
func (a *Agent) unverifiedTasks(m *machine) []*task {
	var out []*task
	for _, t := range m.tasks {
		if t.verifyJob && t.listed && t.occupies() && !(t.stopRequested && t.stopGrace == 0) {
			if _, open := a.mirror.Get(job.RecordKey(t.ref.Job)); !open {
				out = append(out, t)
			}
		}
	}
	return out
}

// verifyTasks waits for the records of a machine's doubtful jobs to be read. Where that
// cannot be done, their tasks are stopped: to stop one of a job that goes on costs its
// time, and to keep one of a cancelled job breaks a promise. The mutex is held before and
// after, not meanwhile.
func (a *Agent) verifyTasks(m *machine) {
	for wait := time.Now().Add(lookupWait); len(a.unverifiedTasks(m)) > 0 && a.machines[m.name] == m; {
		learned := a.lookupDone
		a.triggerLookup()
		a.mu.Unlock()
		timer := time.NewTimer(time.Until(wait))
		select {
		case <-learned:
		case <-timer.C:
		}
		timer.Stop()
		a.mu.Lock()
		if !time.Now().Before(wait) {
			break
		}
	}
	for _, t := range a.unverifiedTasks(m) {
		slog.Info("orphaned task stopped", "task", t.id, "machine", m.name)
		t.stopNow()
		a.markChanged(m)
	}
}
