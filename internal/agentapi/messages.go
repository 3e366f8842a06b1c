// Package agentapi defines the messages of the net/rpc service "Agent": the requests that
// schedulers, the elected leader and change feeds send to the owner of a machine, and the replies.
// Type and field names are part of the wire format (gob) and must not change; some of them
// therefore differ from the terms used elsewhere in the code. The package holds no state and may
// import only package job.
package agentapi

import (
	"time"

	"robinstack/internal/job"
)

// Health reports the state of a controller's connections and lists its quarantined machines.
type Health struct {
	Host    string               `json:"host"`
	StateOK bool                 `json:"state_service_reached"`
	Owned   int                  `json:"machines_owned"`
	Heard   int                  `json:"machines_heard_lately"`
	Marked  []QuarantinedMachine `json:"machines_marked"`
}

// QuarantinedMachine is a machine that gets no new tasks because tasks of the listed jobs failed on
// it.
type QuarantinedMachine struct {
	Machine string   `json:"machine"`
	Why     string   `json:"why"`
	Jobs    []string `json:"jobs"`
}

// Request describes the placement that a scheduler wants.
type Request struct {
	Spec  job.Spec
	Slot  string        // job shard
	Epoch uint64        // revision of the job shard's key; a higher epoch supersedes a lower one
	Zones []string      // zones in which tasks may be placed at present; nil: all zones
	Avoid []string      // machines on which the job has failed
	Age   time.Duration // time since the job became ready to run
	Tasks int           // number of tasks to place
	Share float64       // fraction of the owned machines to sample (N_p in the Vela paper)
	Least int           // minimum number of machines to sample, if the owner has that many
	Left  time.Duration // time until the start deadline of the job's tasks; 0: they are due now
	Near  bool          // consider only machines that have the image
	Spare int           // number of candidates to return in addition to those that the tasks need
	Parts bool          // do not preempt waiting classes that are below their fair share
}

// Candidate is a machine that passed the filters, with its score.
type Candidate struct {
	Machine string
	Host    string
	Rev     uint64
	Zone    string
	Fits    int     // number of the job's tasks that fit
	Image   float64 // 1: the machine has the image; between 0 and 1: it is fetching the image; 0: neither
	Score   float64
}

// SampleReply is the reply to a sampling request.
type SampleReply struct {
	Candidates []Candidate
	Drawn      int
	Exhausted  bool // all owned machines were examined without finding enough candidates
	Crowded    bool // machines with free capacity were skipped because they are fetching other images
}

// TaskRef identifies one attempt of a task.
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
	Hold    bool // only reserve capacity, for a gang that is being assembled

	StewardEpoch uint64 // epoch of the leader that issued the quota grant, for teams with a quota
	JobRev       uint64 // revision of the job record known to the scheduler; 0: sent by an earlier version
}

// Results of a commit, one for each task.
const (
	Started    = "started"   // a heartbeat has listed the task
	Held       = "held"      // capacity is reserved for the task
	Refused    = "refused"   // the task has not been and will not be started, and no entry has listed the attempt
	Unresolved = "unsettled" // the outcome is unknown; a later entry of the machine will show it
)

// CommitReply holds one result for each task of a commit.
type CommitReply struct {
	Verdicts []string
	Why      string // reason of the last refusal, for diagnostics
	Ver      uint64 // an entry of this or a later version that does not list a task proves that the task is gone
	Rev      uint64 // ownership revision of the machine
}

// StopRequest asks the owner to stop tasks, or to forget tasks that have ended and whose end is
// recorded.
type StopRequest struct {
	Items []StopItem
}

// StopItem identifies a task on a machine.
type StopItem struct {
	Machine string
	TaskRef
	Grace  time.Duration // time for the task to save a checkpoint
	Forget bool          // the end of the task is recorded: the worker may drop the task
}

// Attribution states whether the machine or the job caused the failure of a task.
type Attribution struct {
	Machine string
	Job     string
	AtFault bool // the machine is at fault: the job runs well on other machines
}

// ResolveRequest asks the owner to make sure that commits without a reply start no task later.
type ResolveRequest struct {
	Machine string
	Rev     uint64
	Refs    []TaskRef
}

// ResolveReply reports which of the tasks are already on the machine.
type ResolveReply struct {
	Present []bool
	Ver     uint64
}

// WatchRequest asks for the machines that changed since a version.
type WatchRequest struct {
	Instance uint64 // incarnation of the agent's session in which Since was issued
	Since    uint64
	MinRev   uint64 // state revision that the agent's mirror must have reached before the agent replies
	Wait     time.Duration
}

// WatchReply lists the machines that changed.
type WatchReply struct {
	Host     string
	Instance uint64
	Ver      uint64
	StateOK  bool
	// Seen is an upper bound on the revisions of the cancellations that the agent has acknowledged
	// and of the machines that it has taken over. 0 means that the agent runs an earlier version.
	Seen    uint64
	More    bool // the reply is truncated: request the remaining changes
	Entries []MachineEntry
}

// MachineEntry is an agent's view of one of its machines.
type MachineEntry struct {
	Machine  string
	Host     string
	Rev      uint64 // ownership revision
	Ver      uint64 // version of the agent's latest change to this machine
	Type     string
	Zone     string
	Spot     bool
	Settled  bool          // reconciled: commands of earlier owners can no longer take effect
	Draining bool          // the machine gets no new tasks, or has been deleted
	Silent   bool          // the machine is unresponsive, or its heartbeats or commands are lost
	Faulty   bool          // quarantined
	Blamed   []string      // jobs that failed on this machine and run well on others
	Gone     bool          // the machine's key has been removed
	Notice   bool          // the cloud has announced that it will reclaim the machine
	Idle     time.Duration // time without tasks when the entry was created; 0: the machine is not idle
	Received time.Time     // when the change feed received the entry, by the receiver's clock
	Images   []string      // images known to be on the machine
	Tasks    []TaskEntry
}

// Reconciled reports whether commands of earlier owners can no longer take effect, so that any task
// missing from the entry is proven gone.
func (e *MachineEntry) Reconciled() bool { return e.Settled }

// EntryVersion orders the entries of one machine: by ownership revision, then by the owner's
// version.
type EntryVersion struct{ Rev, Ver uint64 }

// Version returns the entry's position among all entries of its machine.
func (e *MachineEntry) Version() EntryVersion { return EntryVersion{e.Rev, e.Ver} }

// Before reports whether o is of a later entry.
func (v EntryVersion) Before(o EntryVersion) bool {
	return v.Rev < o.Rev || v.Rev == o.Rev && v.Ver < o.Ver
}

// AppliedVersions holds the version of the latest entry of each machine that a component has
// applied. It is not safe for concurrent use.
type AppliedVersions map[string]EntryVersion

// Admit reports whether the entry may be applied, and records it as applied. An entry that is
// older than an applied one must not be applied: entries reach a component by several goroutines,
// so they may come out of order. The latest entry may be applied again.
func (a AppliedVersions) Admit(entry *MachineEntry) bool {
	if entry.Version().Before(a[entry.Machine]) {
		return false
	}
	a[entry.Machine] = entry.Version()
	return true
}

// Unresponsive reports whether the machine is unresponsive, or its heartbeats or commands are lost.
func (e *MachineEntry) Unresponsive() bool { return e.Silent }

// Quarantined reports whether the machine gets no new tasks because jobs failed on it that run well
// on other machines.
func (e *MachineEntry) Quarantined() bool { return e.Faulty }

// ReclaimNoticed reports whether the cloud has announced that it will reclaim the machine.
func (e *MachineEntry) ReclaimNoticed() bool { return e.Notice }

// IdleFor returns how long the machine has had no tasks at now, or 0 if it is not idle. Entries are
// sent only on changes, so the time since the entry was received is added.
func (e *MachineEntry) IdleFor(now time.Time) time.Duration {
	if e.Idle == 0 || len(e.Tasks) > 0 {
		return 0
	}
	return e.Idle + now.Sub(e.Received)
}

// TaskEntry is an agent's view of a task on one of its machines.
type TaskEntry struct {
	TaskRef
	Slot  string // job shard
	Team  string
	Need  job.Resources
	Known bool   // the job's record has been read
	State string // state in the worker protocol, or Starting
	Cause string // why the task ended
	Saved bool   // the task has saved a checkpoint
}

// Starting is the state of a task that is being started and that no heartbeat has listed yet.
const Starting = "starting"

// MachinesRequest lists machines to drain or reopen, or machines that the cloud has deleted.
type MachinesRequest struct {
	Names []string
	On    bool // true: drain the machines; false: reopen them; unused for deleted machines
}

// MachinesReply lists the machines for which the request was carried out.
type MachinesReply struct{ Names []string }
