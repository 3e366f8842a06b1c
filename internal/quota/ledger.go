package quota

import (
	"maps"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// allocation is the part of its team's quota that a task uses. team is empty while it is unknown.
type allocation struct {
	team string
	need job.Resources
}

// grant is the allocation of a granted task that no machine has shown yet.
type grant struct {
	allocation
	jobShard string
	epoch    uint64 // epoch in which the scheduler that got the grant owns the job shard
}

// Ledger counts the resources that teams hold on machines and those that they are granted. Its sums
// are updated with each change, so that the cost of a grant does not depend on the size of the
// cluster. It is not safe for concurrent use.
type Ledger struct {
	grants       map[agentapi.TaskRef]grant
	held         map[string]map[agentapi.TaskRef]allocation // by machine
	unattributed map[string]bool                            // machines with tasks whose team is unknown
	usage        map[string]job.Resources                   // by team: sum of held and granted resources
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		grants:       map[agentapi.TaskRef]grant{},
		held:         map[string]map[agentapi.TaskRef]allocation{},
		unattributed: map[string]bool{},
		usage:        map[string]job.Resources{},
	}
}

// Usage returns the resources that each team holds or is granted. The map is not a copy: it changes
// with the ledger, and the caller must not modify it.
func (l *Ledger) Usage() map[string]job.Resources { return l.usage }

// MachineCount returns the number of machines with an entry in the ledger.
func (l *Ledger) MachineCount() int { return len(l.held) }

// FullyAttributed reports whether the team of every task on a machine is known.
func (l *Ledger) FullyAttributed() bool { return len(l.unattributed) == 0 }

// Attributed reports whether the team of every task on the given machine is known.
func (l *Ledger) Attributed(machine string) bool { return !l.unattributed[machine] }

// Grant records a grant to the owner of a job shard. It replaces an earlier grant for the same
// task.
func (l *Ledger) Grant(request GrantRequest, jobShard string, epoch uint64) {
	l.Release(request.Ref)
	granted := allocation{team: request.Team, need: request.Need}
	l.grants[request.Ref] = grant{allocation: granted, jobShard: jobShard, epoch: epoch}
	l.add(granted)
}

// Release removes a task's grant, if there is one.
func (l *Ledger) Release(ref agentapi.TaskRef) {
	granted, ok := l.grants[ref]
	if !ok {
		return
	}
	delete(l.grants, ref)
	l.subtract(granted.allocation)
}

// ReleaseJobShard removes the unused grants that were given to owners of the job shard before the
// given epoch.
func (l *Ledger) ReleaseJobShard(jobShard string, epoch uint64) {
	for ref, granted := range l.grants {
		if granted.jobShard == jobShard && granted.epoch < epoch {
			l.Release(ref)
		}
	}
}

// ClearGrants removes all grants. Tasks on machines still count.
func (l *Ledger) ClearGrants() {
	clear(l.grants)
	l.Recompute()
}

// Recompute recalculates the sums, which accumulate floating-point errors with each change.
func (l *Ledger) Recompute() {
	clear(l.usage)
	for _, tasks := range l.held {
		for _, held := range tasks {
			l.add(held)
		}
	}
	for _, granted := range l.grants {
		l.add(granted.allocation)
	}
}

// RetainMachines removes all machines that are not in present.
func (l *Ledger) RetainMachines(present map[string]bool) {
	for name := range l.held {
		if !present[name] {
			l.removeMachine(name)
		}
	}
}

// Apply updates the ledger from a machine's latest entry. Grants for tasks that the entry lists are
// used and therefore removed.
func (l *Ledger) Apply(entry *agentapi.MachineEntry) {
	if entry.Gone {
		l.removeMachine(entry.Machine)
		return
	}
	held := l.heldTasks(entry)
	for ref := range held {
		l.Release(ref)
	}
	l.removeMachine(entry.Machine)
	l.held[entry.Machine] = held
	for _, task := range held {
		l.add(task)
		if task.team == "" {
			l.unattributed[entry.Machine] = true
		}
	}
}

// heldTasks returns the tasks that count as held on a machine according to its latest entry, and
// removes the grants of tasks that have exited there.
func (l *Ledger) heldTasks(entry *agentapi.MachineEntry) map[agentapi.TaskRef]allocation {
	previous := l.held[entry.Machine]
	held := map[agentapi.TaskRef]allocation{}
	if !entry.Reconciled() {
		// Tasks that earlier owners started may be missing from the entry.
		maps.Copy(held, previous)
	}
	for i := range entry.Tasks {
		task := &entry.Tasks[i]
		if task.State == worker.TaskExited {
			delete(held, task.TaskRef)
			l.Release(task.TaskRef)
			continue
		}
		held[task.TaskRef] = l.allocationFor(task, previous)
	}
	return held
}

// allocationFor returns the allocation of a task according to its entry. While the machine's owner
// has not read the job record, it returns the allocation in the task's grant or, without a grant,
// the one known from the machine's previous entry.
func (l *Ledger) allocationFor(
	task *agentapi.TaskEntry, previous map[agentapi.TaskRef]allocation,
) allocation {
	if task.Known {
		return allocation{team: task.Team, need: task.Need}
	}
	if granted, ok := l.grants[task.TaskRef]; ok {
		return granted.allocation
	}
	return previous[task.TaskRef]
}

func (l *Ledger) removeMachine(machine string) {
	for _, task := range l.held[machine] {
		l.subtract(task)
	}
	delete(l.held, machine)
	delete(l.unattributed, machine)
}

func (l *Ledger) add(a allocation) { l.usage[a.team] = l.usage[a.team].AddScaled(a.need, 1) }

func (l *Ledger) subtract(a allocation) { l.usage[a.team] = l.usage[a.team].AddScaled(a.need, -1) }
