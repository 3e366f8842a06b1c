package quota

import (
	"maps"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// allocation is what a task takes of its team's quota. The team is empty where it is not
// known yet.
type allocation struct {
	team string
	need job.Resources
}

// grant is an allocation of a task that no machine has shown yet.
type grant struct {
	allocation
	jobShard string
	epoch    uint64 // of the job shard's owner
}

// Ledger counts what the teams hold on machines and are granted to start. Its sums follow
// each change, so that a grant costs the same in a cluster of any size. It is not safe for
// concurrent use.
type Ledger struct {
	grants       map[agentapi.TaskRef]grant
	held         map[string]map[agentapi.TaskRef]allocation // by machine
	unattributed map[string]bool                            // machines with tasks of unknown teams
	usage        map[string]job.Resources                   // by team: held and granted
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

// Usage is what each team holds or is granted. The caller must not change it, and it
// follows the ledger.
func (l *Ledger) Usage() map[string]job.Resources { return l.usage }

// MachineCount is the number of machines of which the ledger has an entry.
func (l *Ledger) MachineCount() int { return len(l.held) }

// FullyAttributed reports whether the team of every task on a machine is known.
func (l *Ledger) FullyAttributed() bool { return len(l.unattributed) == 0 }

// Attributed reports whether the team of every task on this machine is known.
func (l *Ledger) Attributed(machine string) bool { return !l.unattributed[machine] }

// Grant counts a task as granted to a job shard's owner, in place of an earlier grant.
func (l *Ledger) Grant(request GrantRequest, jobShard string, epoch uint64) {
	l.Release(request.Ref)
	granted := allocation{team: request.Team, need: request.Need}
	l.grants[request.Ref] = grant{allocation: granted, jobShard: jobShard, epoch: epoch}
	l.add(granted)
}

// Release drops a task's grant, if it has one.
func (l *Ledger) Release(ref agentapi.TaskRef) {
	granted, ok := l.grants[ref]
	if !ok {
		return
	}
	delete(l.grants, ref)
	l.subtract(granted.allocation)
}

// ReleaseJobShard drops the grants that owners of a job shard before this epoch did not use.
func (l *Ledger) ReleaseJobShard(jobShard string, epoch uint64) {
	for ref, granted := range l.grants {
		if granted.jobShard == jobShard && granted.epoch < epoch {
			l.Release(ref)
		}
	}
}

// ClearGrants drops all grants; what is held on machines stays.
func (l *Ledger) ClearGrants() {
	clear(l.grants)
	l.Recompute()
}

// Recompute adds everything up anew: sums of fractions drift with time.
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

// RetainMachines removes all machines but those present.
func (l *Ledger) RetainMachines(present map[string]bool) {
	for name := range l.held {
		if !present[name] {
			l.removeMachine(name)
		}
	}
}

// Apply takes in the latest entry of a machine. Grants of tasks that it shows are used up.
func (l *Ledger) Apply(entry *agentapi.MachineEntry) {
	if entry.Gone {
		l.removeMachine(entry.Machine)
		return
	}
	held := l.tasksOf(entry)
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

// tasksOf lists what counts as held on a machine by its latest entry, and releases the
// grants of tasks that have ended there.
func (l *Ledger) tasksOf(entry *agentapi.MachineEntry) map[agentapi.TaskRef]allocation {
	former := l.held[entry.Machine]
	held := map[agentapi.TaskRef]allocation{}
	if !entry.Reconciled() {
		// An earlier owner's starts may not have shown up yet.
		maps.Copy(held, former)
	}
	for i := range entry.Tasks {
		task := &entry.Tasks[i]
		if task.State == worker.TaskExited {
			delete(held, task.TaskRef)
			l.Release(task.TaskRef)
			continue
		}
		held[task.TaskRef] = l.allocationOf(task, former)
	}
	return held
}

// allocationOf is what a task takes: by its entry, or, as long as its owner has not read the
// job's record, by its grant or by what was known of the machine before.
func (l *Ledger) allocationOf(
	task *agentapi.TaskEntry, former map[agentapi.TaskRef]allocation,
) allocation {
	if task.Known {
		return allocation{team: task.Team, need: task.Need}
	}
	if granted, ok := l.grants[task.TaskRef]; ok {
		return granted.allocation
	}
	return former[task.TaskRef]
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
