// Package worker holds what passes between controllers and the machines'
// workers, and the client for commands sent straight to a worker.
package worker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"robinstack/internal/httpjson"
)

// States of a task on its machine.
const (
	TaskFetching      = "fetching"
	TaskAwaitingGang  = "gathering"
	TaskRunning       = "running"
	TaskCheckpointing = "saving"
	TaskExited        = "ended"
)

// Causes for which a task ended.
const (
	CauseDone           = "done"
	CauseStopped        = "stopped"
	CauseGangPeerLost   = "peers"
	CauseGangIncomplete = "incomplete"
	CauseFailed         = "error"
	CauseNoCapacity     = "no_room"
	CauseOtherAttempt   = "busy"
	CauseUnknownTask    = "no_such"
)

// Task is a task as a worker reports it.
type Task struct {
	ID           string `json:"piece"`
	Attempt      uint64 `json:"try"`
	State        string `json:"status"`
	Cause        string `json:"cause"`
	Checkpointed bool   `json:"stored"`
}

// Heartbeat is what a worker says about its machine.
type Heartbeat struct {
	Machine      string   `json:"host"`
	Address      string   `json:"addr"`
	Type         string   `json:"host_kind"`
	Zone         string   `json:"site"`
	Spot         bool     `json:"loaners"`
	WorkerEpoch  uint64   `json:"tenure"`
	Sequence     uint64   `json:"serial"`
	FencingToken uint64   `json:"baton"`
	SpotNoticeS  *float64 `json:"recall_s"`
	Tasks        []Task   `json:"pieces"`
}

// Command is a command to a worker.
type Command struct {
	Op      string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"wind_down_s,omitempty"`
}

// StartCommand tells a worker to start a task.
func StartCommand(task string, attempt uint64) Command {
	return Command{Op: "run", Task: task, Attempt: attempt}
}

// StopCommand tells a worker to stop a task, with time to save.
func StopCommand(task string, attempt uint64, grace time.Duration) Command {
	s := grace.Seconds()
	return Command{Op: "kill", Task: task, Attempt: attempt, GraceS: &s}
}

// ForgetCommand tells a worker to drop an ended task from its reports.
func ForgetCommand(task string, attempt uint64) Command {
	return Command{Op: "forget", Task: task, Attempt: attempt}
}

// HeartbeatResponse is the reply to a report.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Commander sends commands to workers. The returned report is nil when no
// answer came; executed says whether the commands were carried out.
type Commander interface {
	Send(ctx context.Context, address string, token, session uint64, orders []Command) (report *Heartbeat, executed bool, err error)
}

// Client is the Commander over HTTP.
type Client struct{ http *httpjson.Client }

// idle is how long a connection to a worker is kept without commands. There is one
// to each machine, and most commands go in answers to reports: a thousand kept for
// nothing are a third of the sockets that a controller may have.
const idle = 3 * time.Second

// NewClient returns a client for commands to workers.
func NewClient() *Client { return &Client{http: httpjson.New(2*time.Second, 4, idle)} }

type command struct {
	Token   uint64    `json:"baton"`
	Session uint64    `json:"tenure"`
	Orders  []Command `json:"orders"`
}

// Send sends orders to the worker at address.
func (c *Client) Send(ctx context.Context, address string, token, session uint64, orders []Command) (*Heartbeat, bool, error) {
	if orders == nil {
		orders = []Command{}
	}
	r, err := c.http.Do(ctx, http.MethodPost, "http://"+address+"/do", command{Token: token, Session: session, Orders: orders}, 0)
	if err != nil {
		return nil, false, err
	}
	if r.Status != http.StatusOK && r.Status != http.StatusConflict {
		return nil, false, fmt.Errorf("worker %s: status %d", address, r.Status)
	}
	var report Heartbeat
	if err := r.Decode(&report); err != nil {
		return nil, false, err
	}
	return &report, r.Status == http.StatusOK, nil
}
