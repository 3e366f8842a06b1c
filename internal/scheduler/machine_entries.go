package scheduler

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// checkpointMargin is added to a task's checkpoint duration to get the grace period of its stop
// when the machine is about to be reclaimed.
const checkpointMargin = time.Second

// OnEntries applies machine entries from the change feed.
func (s *Scheduler) OnEntries(entries []agentapi.MachineEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range entries {
		s.onEntry(&entries[i])
	}
}

// onEntry applies the entry of one machine, unless a later one has been applied. The caller must
// hold s.mu.
func (s *Scheduler) onEntry(entry *agentapi.MachineEntry) {
	if !s.appliedEntries.Admit(entry) {
		return
	}
	listed := make(map[agentapi.TaskRef]bool, len(entry.Tasks))
	for i := range entry.Tasks {
		attempt := &entry.Tasks[i]
		listed[attempt.TaskRef] = true
		if j := s.jobs[attempt.Job]; j != nil && attempt.Index < len(j.tasks) {
			s.onAttempt(entry, attempt, j)
		}
	}
	s.resolveUnlistedAttempts(entry, listed)
	if len(s.placedOn[entry.Machine]) == 0 {
		delete(s.placedOn, entry.Machine)
	}
}

// resolveUnlistedAttempts handles the attempts that are placed on a machine and that its entry does
// not list: an attempt is lost if the entry proves it gone. The caller must hold s.mu.
func (s *Scheduler) resolveUnlistedAttempts(entry *agentapi.MachineEntry, listed map[agentapi.TaskRef]bool) {
	placed := s.placedOn[entry.Machine]
	for ref := range placed {
		j := s.jobs[ref.Job]
		if listed[ref] || j == nil {
			continue
		}
		task := &j.tasks[ref.Index]
		if !task.isPlacedAttempt(ref.Attempt) || task.machine != entry.Machine {
			delete(placed, ref)
			continue
		}
		if proof := task.provenGone(entry); proof != "" {
			s.onTaskLost(j, ref.Index, proof)
		}
	}
}

// onAttempt applies one attempt that a machine's entry lists. The caller must hold s.mu.
func (s *Scheduler) onAttempt(entry *agentapi.MachineEntry, listed *agentapi.TaskEntry, j *jobState) {
	task := &j.tasks[listed.Index]
	ended := listed.State == worker.TaskExited
	item := agentapi.StopItem{Machine: entry.Machine, TaskRef: listed.TaskRef, Forget: ended}
	if s.onAttemptWithResult(listed, j, item) {
		return
	}
	if !ended {
		s.checkSecondAttempt(entry, listed, j)
	}
	if task.supersedes(listed.Attempt, entry.Machine) || task.status == taskPending && ended {
		// The attempt was given up, or the scheduler that started it did so before a later one.
		if !ended {
			task.logSuperseded(entry, listed)
		}
		s.queueForget(item)
		return
	}
	s.followAttempt(j, listed)
	j.started, j.reserving = true, false
	task.markPlaced(entry.Machine, entry.Zone, entry.Rev, entry.Ver)
	task.reportedState = listed.State
	s.addPlacedAttempt(entry.Machine, listed.TaskRef)
	if ended {
		s.onAttemptEnded(j, listed.Index, listed.Cause, entry.Machine)
		s.queueForget(item)
		return
	}
	if entry.ReclaimNoticed() && !j.isFinished() && (j.spec.CanCheckpoint() || j.spec.Shape == job.Service) {
		// The cloud is about to reclaim the machine: the task writes a checkpoint and is restarted
		// elsewhere.
		s.stopTaskOrGang(j, listed.Index, j.spec.CheckpointDuration()+checkpointMargin)
	}
}

// followAttempt makes a listed attempt the task's attempt, unless it is that already: the task is
// pending, or the listed attempt is a later one, which proves the task's attempt gone. The caller must
// hold s.mu.
func (s *Scheduler) followAttempt(j *jobState, listed *agentapi.TaskEntry) {
	task := &j.tasks[listed.Index]
	if task.status != taskPending && task.attempt == listed.Attempt {
		return
	}
	if task.onMachine() {
		task.logGone(job.TaskID(listed.Job, listed.Index), laterAttemptListed)
	}
	s.resetTask(j, listed.Index)
	j.attempts = max(j.attempts, listed.Attempt)
	task.attempt = listed.Attempt
}

// onAttemptWithResult handles an attempt that completed its task, and attempts at tasks or jobs
// that already have a result. It reports whether the attempt needs no further handling. The caller
// must hold s.mu.
func (s *Scheduler) onAttemptWithResult(listed *agentapi.TaskEntry, j *jobState, item agentapi.StopItem) bool {
	ended := listed.State == worker.TaskExited
	switch {
	case j.phase == jobRecorded:
		s.queueForget(item)
		if !ended || j.tasks[listed.Index].attempt != listed.Attempt {
			return false
		}
		s.resetTask(j, listed.Index)
		s.dropIfGone(listed.Job, j)
		return true
	case ended && listed.Cause == worker.CauseDone:
		// The worker keeps the attempt until the completion is durable.
		j.completion.endedAttempts = append(j.completion.endedAttempts, item)
		s.onTaskCompleted(j, listed.Index)
		return true
	case j.done.Has(listed.Index):
		// Another attempt, or another task of the gang, has completed it.
		s.queueForget(item)
		return true
	}
	return false
}

// handleRemovedMachines marks the tasks on removed machines as lost: a machine's key is removed
// only once all tasks on the machine are proven gone. The entry that shows that they are gone may
// never arrive if the machine's owner crashes before it sends the entry.
func (s *Scheduler) handleRemovedMachines() {
	revision := s.mirror.Rev()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAppliedEntries(revision)
	for machine, placed := range s.placedOn {
		if _, ok := s.mirror.Get(statekv.MachinePrefix + machine); ok {
			continue
		}
		for ref := range placed {
			j := s.jobs[ref.Job]
			if j == nil {
				delete(placed, ref)
				continue
			}
			task := &j.tasks[ref.Index]
			if task.isPlacedAttempt(ref.Attempt) && task.machine == machine && revision > task.ownerRev {
				s.onTaskLost(j, ref.Index, machineKeyRemoved)
			}
		}
	}
}

// dropAppliedEntries drops the versions of machines whose keys have been removed. revision is one that
// the mirror had reached before. The caller must hold s.mu.
func (s *Scheduler) dropAppliedEntries(revision uint64) {
	for machine, version := range s.appliedEntries {
		if _, ok := s.mirror.Get(statekv.MachinePrefix + machine); !ok && revision > version.Rev {
			delete(s.appliedEntries, machine)
		}
	}
}

// addPlacedAttempt records that an attempt is, or may be, on a machine. The caller must hold s.mu.
func (s *Scheduler) addPlacedAttempt(machine string, ref agentapi.TaskRef) {
	if s.placedOn[machine] == nil {
		s.placedOn[machine] = map[agentapi.TaskRef]bool{}
	}
	s.placedOn[machine][ref] = true
}

// queueForget queues an item for the machine's owner. With item.Forget the owner may forget the
// attempt; otherwise it stops the attempt or releases the capacity reserved for it. The caller must
// hold s.mu.
func (s *Scheduler) queueForget(item agentapi.StopItem) {
	s.outbox.forgetItems = append(s.outbox.forgetItems, item)
}
