// Package worker holds the protocol between controllers and the workers on the machines, and the
// client for commands that are sent straight to a worker.
//
// It owns no state beside the client's pooled connections, which guard themselves. JSON keys are
// those of the protocol; Go names are the field's. It imports only httpjson.
package worker

import "time"

// States of a task on its machine, as heartbeats have them.
const (
	TaskFetching      = "fetching"  // waits for its image
	TaskAwaitingGang  = "gathering" // waits for the other tasks of its gang's attempt
	TaskRunning       = "running"
	TaskCheckpointing = "saving" // was stopped and saves a checkpoint
	TaskExited        = "ended"  // see its cause
)

// Causes for which a task has exited.
const (
	CauseDone           = "done"
	CauseStopped        = "stopped"    // by command
	CauseGangPeerLost   = "peers"      // another task of the gang is gone
	CauseGangIncomplete = "incomplete" // the gang was not complete in time
	CauseFailed         = "error"
	CauseNoCapacity     = "no_room" // start refused: not enough free resources
	CauseOtherAttempt   = "busy"    // start refused: another attempt is on the machine
	CauseUnknownTask    = "no_such" // start refused: no such job or task
)

// Operations of commands.
const (
	OpStart  = "run"
	OpStop   = "kill"
	OpForget = "forget" // drops an exited task from the heartbeats
)

// Task is a task as a heartbeat has it.
type Task struct {
	ID           string `json:"piece"`
	Attempt      uint64 `json:"try"`
	State        string `json:"status"`
	Cause        string `json:"cause"` // empty until it has exited
	Checkpointed bool   `json:"stored"`
}

// Heartbeat is what a worker says about its machine. Of two, the one with the larger worker epoch
// and sequence is the newer one.
type Heartbeat struct {
	Machine      string   `json:"host"`
	Address      string   `json:"addr"`
	Type         string   `json:"host_kind"`
	Zone         string   `json:"site"`
	Spot         bool     `json:"loaners"`
	WorkerEpoch  uint64   `json:"tenure"`   // increases each time the worker's lease expires
	Sequence     uint64   `json:"serial"`   // increases with each message of the worker
	FencingToken uint64   `json:"baton"`    // the highest that the worker has seen
	SpotNoticeS  *float64 `json:"recall_s"` // seconds until the cloud takes the machine; nil: no notice
	Tasks        []Task   `json:"pieces"`
}

// HeartbeatResponse answers a heartbeat. A worker drops one whose fencing token is lower than the
// highest that it has seen.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Command is a command to a worker. All may be repeated, but after ForgetCommand a repeated
// StartCommand starts the attempt anew.
type Command struct {
	Op      string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"wind_down_s,omitempty"` // seconds; only of StopCommand
}

// StartCommand tells a worker to start a task.
func StartCommand(task string, attempt uint64) Command {
	return Command{Op: OpStart, Task: task, Attempt: attempt}
}

// StopCommand tells a worker to stop a task, with time to save a checkpoint.
func StopCommand(task string, attempt uint64, grace time.Duration) Command {
	seconds := grace.Seconds()
	return Command{Op: OpStop, Task: task, Attempt: attempt, GraceS: &seconds}
}

// ForgetCommand tells a worker to drop an exited task from its heartbeats.
func ForgetCommand(task string, attempt uint64) Command {
	return Command{Op: OpForget, Task: task, Attempt: attempt}
}
