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
	Fetching  = "fetching"
	Gathering = "gathering"
	Running   = "running"
	Saving    = "saving"
	Ended     = "ended"
)

// Causes for which a task ended.
const (
	Done       = "done"
	Stopped    = "stopped"
	PeersGone  = "peers"
	Incomplete = "incomplete"
	Failed     = "error"
	NoRoom     = "no_room"
	Busy       = "busy"
	NoSuch     = "no_such"
)

// Task is a task as a worker reports it.
type Task struct {
	ID      string `json:"piece"`
	Attempt uint64 `json:"try"`
	State   string `json:"status"`
	Cause   string `json:"cause"`
	Saved   bool   `json:"stored"`
}

// Report is what a worker says about its machine.
type Report struct {
	Machine string   `json:"host"`
	Address string   `json:"addr"`
	Type    string   `json:"host_kind"`
	Zone    string   `json:"site"`
	Spot    bool     `json:"loaners"`
	Session uint64   `json:"tenure"`
	Seq     uint64   `json:"serial"`
	Token   uint64   `json:"baton"`
	NoticeS *float64 `json:"recall_s"`
	Tasks   []Task   `json:"pieces"`
}

// Order is a command to a worker.
type Order struct {
	Op      string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"wind_down_s,omitempty"`
}

// Start tells a worker to start a task.
func Start(task string, attempt uint64) Order { return Order{Op: "run", Task: task, Attempt: attempt} }

// Stop tells a worker to stop a task, with time to save.
func Stop(task string, attempt uint64, grace time.Duration) Order {
	s := grace.Seconds()
	return Order{Op: "kill", Task: task, Attempt: attempt, GraceS: &s}
}

// Forget tells a worker to drop an ended task from its reports.
func Forget(task string, attempt uint64) Order {
	return Order{Op: "forget", Task: task, Attempt: attempt}
}

// Answer is the reply to a report.
type Answer struct {
	Token  uint64  `json:"baton"`
	Orders []Order `json:"orders"`
}

// Commander sends commands to workers. The returned report is nil when no
// answer came; executed says whether the commands were carried out.
type Commander interface {
	Command(ctx context.Context, address string, token, session uint64, orders []Order) (report *Report, executed bool, err error)
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
	Token   uint64  `json:"baton"`
	Session uint64  `json:"tenure"`
	Orders  []Order `json:"orders"`
}

// Command sends orders to the worker at address.
func (c *Client) Command(ctx context.Context, address string, token, session uint64, orders []Order) (*Report, bool, error) {
	if orders == nil {
		orders = []Order{}
	}
	r, err := c.http.Do(ctx, http.MethodPost, "http://"+address+"/do", command{Token: token, Session: session, Orders: orders}, 0)
	if err != nil {
		return nil, false, err
	}
	if r.Status != http.StatusOK && r.Status != http.StatusConflict {
		return nil, false, fmt.Errorf("worker %s: status %d", address, r.Status)
	}
	var report Report
	if err := r.Decode(&report); err != nil {
		return nil, false, err
	}
	return &report, r.Status == http.StatusOK, nil
}
