// Package worker defines the protocol between controllers and the workers on the machines, and has
// the client that sends commands directly to a worker.
//
// The only state is the client's connection pool, which is safe for concurrent use. JSON keys are
// those of the protocol; the Go names differ from them. The package imports httpjson only.
package worker

import "time"

// States of a task on its machine, as reported in heartbeats.
const (
	TaskFetching      = "fetching"  // waiting for its image
	TaskAwaitingGang  = "gathering" // waiting for the other tasks of the same gang attempt
	TaskRunning       = "running"
	TaskCheckpointing = "saving" // stopped, saving a checkpoint
	TaskExited        = "ended"  // Task.Cause has the cause
)

// Causes for which a task exited or was not started.
const (
	CauseDone           = "done"
	CauseStopped        = "stopped"    // by command
	CauseGangPeerLost   = "peers"      // another task of the gang was lost
	CauseGangIncomplete = "incomplete" // the gang did not become complete in time
	CauseFailed         = "error"
	CauseNoCapacity     = "no_room" // start refused: not enough free resources
	CauseOtherAttempt   = "busy"    // start refused: another attempt is on the machine
	CauseUnknownTask    = "no_such" // start refused: no such job or task
)

// Operations of commands.
const (
	OpStart  = "run"
	OpStop   = "kill"
	OpForget = "forget" // removes an exited task from the heartbeats
)

// Task is the state of a task in a heartbeat.
type Task struct {
	ID           string `json:"piece"`
	Attempt      uint64 `json:"try"`
	State        string `json:"status"`
	Cause        string `json:"cause"` // empty until the task has exited
	Checkpointed bool   `json:"stored"`
}

// Heartbeat is what a worker reports about its machine. Heartbeats are ordered by worker epoch,
// then by sequence number.
type Heartbeat struct {
	Machine      string   `json:"host"`
	Address      string   `json:"addr"`
	Type         string   `json:"host_kind"`
	Zone         string   `json:"site"`
	Spot         bool     `json:"loaners"`
	WorkerEpoch  uint64   `json:"tenure"`   // increases each time the worker's lease expires
	Sequence     uint64   `json:"serial"`   // increases with each message of the worker
	FencingToken uint64   `json:"baton"`    // highest token that the worker has seen
	SpotNoticeS  *float64 `json:"recall_s"` // seconds until the cloud reclaims the spot machine; nil: no notice
	Tasks        []Task   `json:"pieces"`
}

// Sizes in bytes of a heartbeat and its parts.
const (
	maxHeartbeatBytes = 64 << 10
	// heartbeatFrameBytes bounds a heartbeat without its tasks.
	heartbeatFrameBytes = 1 << 10
	// maxTaskBytes bounds a task in a heartbeat: a task id of 27 characters, an attempt of 20 digits, and
	// the longest state and cause.
	maxTaskBytes = 124
)

// MaxTasksPerHeartbeat is the number of tasks, ended ones included, that fit into one heartbeat.
const MaxTasksPerHeartbeat = (maxHeartbeatBytes - heartbeatFrameBytes) / maxTaskBytes

// HeartbeatResponse answers a heartbeat. A worker ignores a response whose fencing token is lower
// than the highest one that it has seen.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Command is a command to a worker. Commands may be repeated, with one exception: a StartCommand
// that is repeated after a ForgetCommand starts the attempt again.
type Command struct {
	Op      string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"wind_down_s,omitempty"` // time to save a checkpoint, in seconds; only set by StopCommand
}

// StartCommand returns the command to start an attempt of a task.
func StartCommand(task string, attempt uint64) Command {
	return Command{Op: OpStart, Task: task, Attempt: attempt}
}

// StopCommand returns the command to stop a task. grace is the time that the task has to save a
// checkpoint.
func StopCommand(task string, attempt uint64, grace time.Duration) Command {
	seconds := grace.Seconds()
	return Command{Op: OpStop, Task: task, Attempt: attempt, GraceS: &seconds}
}

// ForgetCommand returns the command to remove an exited task from the worker's heartbeats.
func ForgetCommand(task string, attempt uint64) Command {
	return Command{Op: OpForget, Task: task, Attempt: attempt}
}
