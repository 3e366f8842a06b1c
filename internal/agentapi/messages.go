// Package agentapi holds the net/rpc messages of the service "Agent": what schedulers,
// the elected leader and change feeds ask the owner of a machine, and its answers. Field
// names and kinds are the wire format (gob) and must not change, which is why some are not
// the terms that the code uses otherwise. It owns no state and may import package job only.
package agentapi

import (
	"time"

	"robinstack/internal/job"
)

// Health tells which paths of a controller work.
type Health struct {
	Host    string               `json:"host"`
	StateOK bool                 `json:"state_service_reached"`
	Owned   int                  `json:"machines_owned"`
	Heard   int                  `json:"machines_heard_lately"`
	Marked  []QuarantinedMachine `json:"machines_marked"`
}

// QuarantinedMachine is a machine that gets no tasks because tasks failed there.
type QuarantinedMachine struct {
	Machine string   `json:"machine"`
	Why     string   `json:"why"`
	Jobs    []string `json:"jobs"`
}

// Request describes what a scheduler looks for.
type Request struct {
	Spec  job.Spec
	Slot  string        // job shard
	Epoch uint64        // revision of the job shard's key: later schedulers outrank earlier ones
	Zones []string      // zones that are allowed right now; nil: any
	Avoid []string      // machines on which the job failed
	Age   time.Duration // since the job was submitted
	Tasks int           // tasks that look for a place
	Share float64       // share of the owned machines to sample (the paper's N_p)
	Least int           // and how many at least, if there are so many
	Left  time.Duration // until the job's tasks should have started by its objective; 0: at once
	Near  bool          // only machines that have the image
	Spare int           // candidates to return beyond those that the tasks need
	Parts bool          // classes that wait with less than their fair share are not preempted
}

// Candidate is a machine that passed the filters, with its score.
type Candidate struct {
	Machine string
	Host    string
	Rev     uint64
	Zone    string
	Fits    int     // how many of the job's tasks fit
	Image   float64 // 1: the machine has the image; less: it is on its way
	Score   float64
}

// SampleReply is the answer to a sampling request.
type SampleReply struct {
	Candidates []Candidate
	Drawn      int
	Exhausted  bool // every owned machine was drawn without finding enough
	Crowded    bool // some with capacity fetch other images
}

// TaskRef names one attempt at a task.
type TaskRef struct {
	Job     string
	Index   int
	Attempt uint64
}

// CommitRequest asks the owner of a machine to start tasks on it.
type CommitRequest struct {
	Request
	Machine string
	Rev     uint64
	Refs    []TaskRef
	Hold    bool // reserve only, for a gang that is being assembled

	StewardEpoch uint64 // of the leader that granted it, for a team with a quota
	JobRev       uint64 // revision of the job's record as the scheduler knows it; 0: an earlier version's
}

// Results of a commit, for each of its tasks.
const (
	Started    = "started"   // a heartbeat has shown the task
	Held       = "held"      // reserved
	Refused    = "refused"   // certainly not started and never will be
	Unresolved = "unsettled" // sent; the machine's entry will show what became of it
)

// CommitReply has a result for each task.
type CommitReply struct {
	Verdicts []string
	Why      string // the latest reason for a refusal, for the log
	Ver      uint64 // an entry of this version or later without a task proves it gone
	Rev      uint64 // revision of the ownership
}

// StopRequest asks for tasks to be stopped or, once ended and recorded, forgotten.
type StopRequest struct {
	Items []StopItem
}

// StopItem names a task on a machine.
type StopItem struct {
	Machine string
	TaskRef
	Grace  time.Duration // time to save
	Forget bool          // its end is recorded
}

// Attribution says whether a machine or the job is to blame for a task that failed.
type Attribution struct {
	Machine string
	Job     string
	AtFault bool // the machine: the job runs well elsewhere
}

// ResolveRequest makes commits harmless that may still be under way.
type ResolveRequest struct {
	Machine string
	Rev     uint64
	Refs    []TaskRef
}

// ResolveReply says which of them were on a machine already.
type ResolveReply struct {
	Present []bool
	Ver     uint64
}

// WatchRequest asks for the machines that changed.
type WatchRequest struct {
	Instance uint64 // session of the agent that Since belongs to
	Since    uint64
	MinRev   uint64 // state revision that the agent must have seen before it answers
	Wait     time.Duration
}

// WatchReply lists the changes.
type WatchReply struct {
	Host     string
	Instance uint64
	Ver      uint64
	StateOK  bool
	// Seen is a revision such that no cancellation that the agent has acknowledged, and no
	// machine that it took, is of a later one; 0: an earlier version's.
	Seen    uint64
	More    bool // there are more changes up to now: ask again
	Entries []MachineEntry
}

// MachineEntry is what an agent knows about one of its machines.
type MachineEntry struct {
	Machine  string
	Host     string
	Rev      uint64 // revision of this ownership
	Ver      uint64 // of the agent's latest change of this machine
	Type     string
	Zone     string
	Spot     bool
	Settled  bool          // reconciled: no earlier owner's command can arrive any more
	Draining bool          // it gets no new tasks, or has been deleted
	Silent   bool          // unresponsive, or its heartbeats or commands are lost
	Faulty   bool          // quarantined
	Blamed   []string      // jobs that run well elsewhere and failed here
	Gone     bool          // its key has been removed
	Notice   bool          // the cloud has announced that it takes the machine back
	Idle     time.Duration // time without tasks, when the entry was made
	Received time.Time     // when the feed got it, by the receiver's clock
	Images   []string      // known to be on the machine
	Tasks    []TaskEntry
}

// Reconciled reports whether no command of an earlier owner can arrive any more, so that what
// the entry does not list is proven gone.
func (e *MachineEntry) Reconciled() bool { return e.Settled }

// Unresponsive reports whether the machine is silent, or its heartbeats or commands are lost.
func (e *MachineEntry) Unresponsive() bool { return e.Silent }

// Quarantined reports whether the machine gets no tasks because jobs failed there that run well
// elsewhere.
func (e *MachineEntry) Quarantined() bool { return e.Faulty }

// ReclaimNoticed reports whether the cloud has announced that it takes the machine back.
func (e *MachineEntry) ReclaimNoticed() bool { return e.Notice }

// IdleFor is how long the machine has had no tasks by now, or 0. Entries come
// only with changes, so the time since then counts too.
func (e *MachineEntry) IdleFor(now time.Time) time.Duration {
	if e.Idle == 0 || len(e.Tasks) > 0 {
		return 0
	}
	return e.Idle + now.Sub(e.Received)
}

// TaskEntry is a task on a machine.
type TaskEntry struct {
	TaskRef
	Slot  string // job shard
	Team  string
	Need  job.Resources
	Known bool   // the job's record has been read
	State string // as the worker names it, or Starting
	Cause string // for which it ended
	Saved bool   // a checkpoint of it has been saved
}

// Starting is the state of a task whose start no heartbeat has shown yet.
const Starting = "starting"

// MachinesRequest names machines, for draining or after their deletion.
type MachinesRequest struct {
	Names []string
	On    bool // drain, or open again; nothing after a deletion
}

// MachinesReply names those for which the request was carried out.
type MachinesReply struct{ Names []string }
