package scheduler

import (
	"fmt"
	"log/slog"

	"robinstack/internal/agentapi"
	"robinstack/internal/invariant"
	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// goneProof is the evidence on which the scheduler regards an attempt as gone, so that the task may
// be started elsewhere. "" means that there is none.
type goneProof string

// Proofs that an attempt is gone.
const (
	// unlistedByOwner: a reconciled entry of the owner to which the attempt was committed, from the
	// version of the commit on, does not list it.
	unlistedByOwner goneProof = "not in its owner's entry"
	// unlistedByLaterOwner: a reconciled entry of a later owner does not list it.
	unlistedByLaterOwner goneProof = "not in a later owner's entry"
	// machineDeregistered: the owner or a later one has removed the machine's key, which it does only
	// after the cloud has deleted the machine.
	machineDeregistered goneProof = "machine is deregistered"
	// machineKeyRemoved: the mirror shows that the machine's key has been removed.
	machineKeyRemoved goneProof = "machine key is removed"
	// laterAttemptListed: an entry lists a later attempt at the task.
	laterAttemptListed goneProof = "a later attempt is listed"
	// attemptExited: an entry shows that the attempt has exited.
	attemptExited goneProof = "it has exited"
	// startAbandoned: the owner has neither the attempt nor will it ever start it.
	startAbandoned goneProof = "its owner will not start it"
)

// provenGone returns the proof, if there is one, that an attempt which a machine's entry does not
// list is not on the machine. An unreconciled entry proves nothing, because its owner does not know
// yet what runs on the machine.
func (t *taskState) provenGone(entry *agentapi.MachineEntry) goneProof {
	switch {
	case entry.Gone && entry.Rev >= t.ownerRev:
		return machineDeregistered
	case !entry.Reconciled():
		return ""
	case entry.Rev > t.ownerRev:
		return unlistedByLaterOwner
	case entry.Rev == t.ownerRev && t.entryVersion != unresolved && entry.Ver >= t.entryVersion:
		return unlistedByOwner
	}
	return ""
}

// onTaskLost returns a task that is proven gone from its machine to pending. The other tasks of a
// gang are stopped. Without a proof the task is kept. The caller must hold s.mu.
func (s *Scheduler) onTaskLost(j *jobState, index int, proof goneProof) {
	task := &j.tasks[index]
	if proof == "" || !task.onMachine() {
		invariant.Violated("a task is given up only with a proof that it is gone", invariant.Context{
			Task: job.TaskID(j.spec.ID, index), Attempt: task.attempt, Machine: task.machine,
			Revision: task.ownerRev, Version: task.entryVersion, Reason: string(proof),
		})
		return
	}
	if proof != attemptExited { // which is logged with its cause, and whose entry releases the grant
		task.logGone(job.TaskID(j.spec.ID, index), proof)
		s.queueRelease(j, j.ref(index))
	}
	s.counters.Lost++
	s.resetTask(j, index)
	if j.isGang() && !j.isFinished() {
		s.stopAllTasks(j, 0)
	}
	s.dropIfGone(j.spec.ID, j)
	s.wake()
}

// logGone logs the proof by which the task's attempt on a machine is regarded as gone.
func (t *taskState) logGone(id string, proof goneProof) {
	slog.Info("task attempt gone", "task", id, "attempt", t.attempt, "machine", t.machine,
		"proof", string(proof), "revision", t.ownerRev, "version", t.entryVersion)
}

// logSuperseded logs why a listed attempt is stopped: the task's attempt supersedes it.
func (t *taskState) logSuperseded(entry *agentapi.MachineEntry, listed *agentapi.TaskEntry) {
	slog.Info("task attempt superseded", "task", job.TaskID(listed.Job, listed.Index), "attempt", listed.Attempt,
		"machine", entry.Machine, "state", listed.State, "revision", entry.Rev, "version", entry.Ver,
		"reconciled", entry.Reconciled(), "by_attempt", t.attempt, "by_machine", t.machine, "by_revision", t.ownerRev)
}

// checkSecondAttempt reports a violation if a reconciled entry lists an attempt that has not exited
// although the task's attempt is on another machine. The caller must hold s.mu, and follows the later
// of the two attempts.
//
// Outdated knowledge shows no second attempt: an attempt of a later scheduler (this session has ended
// and does not know it yet), entries from before a takeover of the job shard, which count until it is
// reconciled, and entries of former owners, also of machines that have been deleted since.
func (s *Scheduler) checkSecondAttempt(entry *agentapi.MachineEntry, listed *agentapi.TaskEntry, j *jobState) {
	task := &j.tasks[listed.Index]
	if !entry.Reconciled() || !task.onMachine() || task.machine == entry.Machine {
		return
	}
	held := s.shards[j.shardID]
	if held == nil || !held.reconciled || listed.Attempt>>epochAttemptBits > held.epoch {
		return
	}
	if !s.isPresentOwnership(entry.Machine, entry.Rev) || !s.isPresentOwnership(task.machine, task.ownerRev) {
		return
	}
	other := fmt.Sprintf("%s; attempt %d is on %s at revision %d, version %d",
		listed.State, task.attempt, task.machine, task.ownerRev, task.entryVersion)
	invariant.Violated("at most one attempt of a task is on a machine", invariant.Context{
		Task: job.TaskID(listed.Job, listed.Index), Attempt: listed.Attempt, Machine: entry.Machine,
		Revision: entry.Rev, Version: entry.Ver, Reason: other,
	})
}

// isPresentOwnership reports whether the mirror shows that the machine is registered and that its
// present ownership has the given revision.
func (s *Scheduler) isPresentOwnership(machine string, rev uint64) bool {
	kv, registered := s.mirror.Get(statekv.MachinePrefix + machine)
	_, present := shard.OwnerOf(s.mirror, kv)
	return registered && present == rev
}
