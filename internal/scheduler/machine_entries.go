package scheduler

import (
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// saveMargin is the time beyond what a task needs to save that it gets when its machine
// is taken away.
const saveMargin = time.Second

// OnEntries takes up what the change feed shows of machines.
func (s *Scheduler) OnEntries(entries []agentapi.MachineEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range entries {
		s.onEntry(&entries[i])
	}
}

// onEntry takes up one machine. The mutex is held.
func (s *Scheduler) onEntry(entry *agentapi.MachineEntry) {
	listed := make(map[agentapi.TaskRef]bool, len(entry.Tasks))
	for i := range entry.Tasks {
		attempt := &entry.Tasks[i]
		listed[attempt.TaskRef] = true
		if j := s.jobs[attempt.Job]; j != nil && attempt.Index < len(j.tasks) {
			s.onAttempt(entry, attempt, j)
		}
	}
	s.loseUnlisted(entry, listed)
	if len(s.placedOn[entry.Machine]) == 0 {
		delete(s.placedOn, entry.Machine)
	}
}

// loseUnlisted takes up the attempts on a machine that its entry does not list, where that
// proves them gone. The mutex is held.
func (s *Scheduler) loseUnlisted(entry *agentapi.MachineEntry, listed map[agentapi.TaskRef]bool) {
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
		if task.provenGone(entry) {
			s.onTaskLost(j, ref.Index)
		}
	}
}

// onAttempt takes up one attempt that a machine's entry lists. The mutex is held.
func (s *Scheduler) onAttempt(entry *agentapi.MachineEntry, listed *agentapi.TaskEntry, j *jobState) {
	task := &j.tasks[listed.Index]
	ended := listed.State == worker.TaskExited
	item := agentapi.StopItem{Machine: entry.Machine, TaskRef: listed.TaskRef, Forget: ended}
	if s.onAttemptWithResult(listed, j, item) {
		return
	}
	pending := task.status == taskPending
	if pending && ended || !pending && task.attempt != listed.Attempt {
		// An attempt that was given up turned up after all.
		s.forget(item)
		return
	}
	if pending {
		j.attempts = max(j.attempts, listed.Attempt)
		task.attempt = listed.Attempt
	}
	j.begun, j.reserving = true, false
	task.place(entry.Machine, entry.Zone, entry.Rev, entry.Ver)
	task.state = listed.State
	s.notePlaced(entry.Machine, listed.TaskRef)
	if ended {
		s.onAttemptEnded(j, listed.Index, listed.Cause, entry.Machine)
		s.forget(item)
		return
	}
	if entry.ReclaimNoticed() && !j.isFinished() && (j.spec.CanCheckpoint() || j.spec.Shape == job.Service) {
		// The machine is being taken away: save and move on.
		s.stopTaskOrGang(j, listed.Index, j.spec.CheckpointDuration()+saveMargin)
	}
}

// onAttemptWithResult takes up an attempt that completed its task, or at a task or job
// that has its result already; it returns whether nothing is left to do. The mutex is held.
func (s *Scheduler) onAttemptWithResult(listed *agentapi.TaskEntry, j *jobState, item agentapi.StopItem) bool {
	ended := listed.State == worker.TaskExited
	switch {
	case j.phase == jobRecorded:
		s.forget(item)
		if !ended || j.tasks[listed.Index].attempt != listed.Attempt {
			return false
		}
		s.resetTask(j, listed.Index)
		s.dropIfGone(listed.Job, j)
		return true
	case ended && listed.Cause == worker.CauseDone:
		// Forgotten once the completion is durable.
		j.completion.ended = append(j.completion.ended, item)
		s.onTaskCompleted(j, listed.Index)
		return true
	case j.done.Has(listed.Index):
		// Another attempt completed it, or another task of its gang.
		s.forget(item)
		return true
	}
	return false
}

// loseTasksOfRemovedMachines gives up tasks on machines whose keys have been removed,
// which is done only once all on them is proven gone. Their owner may have died before its
// last entry got here.
func (s *Scheduler) loseTasksOfRemovedMachines() {
	revision := s.mirror.Rev()
	s.mu.Lock()
	defer s.mu.Unlock()
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
				s.onTaskLost(j, ref.Index)
			}
		}
	}
}

// notePlaced notes that a machine has an attempt, or may have it. The mutex is held.
func (s *Scheduler) notePlaced(machine string, ref agentapi.TaskRef) {
	if s.placedOn[machine] == nil {
		s.placedOn[machine] = map[agentapi.TaskRef]bool{}
	}
	s.placedOn[machine][ref] = true
}

// forget has a machine's owner told that an attempt may be forgotten, or stopped if it has
// not ended. The mutex is held.
func (s *Scheduler) forget(item agentapi.StopItem) {
	s.outbox.forgets = append(s.outbox.forgets, item)
}
