package emulator

import (
	"context"
	"errors"
	"sync"
	"time"

	"robinstack/internal/worker"
)

// Workers is a set of workers that carry out commands.
type Workers struct {
	mu   sync.Mutex
	byID map[string]*Worker
}

// Worker is one machine's worker.
type Worker struct {
	Heartbeat worker.Heartbeat
	// HoldCommands loses commands; LoseAnswers carries them out but loses the answer.
	HoldCommands, LoseAnswers bool
	TimeOutNext               int      // commands to be lost without a word, from the next on
	Started                   []string // every start that was carried out
	late                      []func()
}

// NewWorkers returns no workers.
func NewWorkers() *Workers { return &Workers{byID: map[string]*Worker{}} }

// Add puts up a worker.
func (w *Workers) Add(name, typeName, zone string) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := &Worker{Heartbeat: worker.Heartbeat{Machine: name, Address: name, Type: typeName, Zone: zone, WorkerEpoch: 1, Sequence: 1}}
	w.byID[name] = x
	return x
}

// WithLock runs f with the worker's state held still.
func (w *Workers) WithLock(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// NextHeartbeat returns the worker's next report.
func (w *Workers) NextHeartbeat(x *Worker) worker.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	return x.next()
}

func (x *Worker) next() worker.Heartbeat {
	x.Heartbeat.Sequence++
	r := x.Heartbeat
	r.Tasks = append([]worker.Task(nil), x.Heartbeat.Tasks...)
	return r
}

// DeliverAnswer has the worker take an answer to its report.
func (w *Workers) DeliverAnswer(x *Worker, a worker.HeartbeatResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.carryOut(a.FencingToken, x.Heartbeat.WorkerEpoch, a.Commands)
}

// DeliverHeldCommands carries out the commands that were lost on the way.
func (w *Workers) DeliverHeldCommands(x *Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range x.late {
		f()
	}
	x.late = nil
}

func (x *Worker) carryOut(token, session uint64, orders []worker.Command) bool {
	if token < x.Heartbeat.FencingToken || session != x.Heartbeat.WorkerEpoch {
		return false
	}
	x.Heartbeat.FencingToken = token
	for _, o := range orders {
		at := -1
		for i, t := range x.Heartbeat.Tasks {
			if t.ID == o.Task && t.Attempt == o.Attempt {
				at = i
			}
		}
		switch {
		case o.Op == "run" && at < 0:
			x.Started = append(x.Started, o.Task)
			x.Heartbeat.Tasks = append(x.Heartbeat.Tasks, worker.Task{ID: o.Task, Attempt: o.Attempt, State: worker.TaskRunning})
		case o.Op == "kill" && at >= 0 && x.Heartbeat.Tasks[at].State != worker.TaskExited:
			x.Heartbeat.Tasks[at].State, x.Heartbeat.Tasks[at].Cause = worker.TaskExited, worker.CauseStopped
		case o.Op == "forget" && at >= 0:
			x.Heartbeat.Tasks = append(x.Heartbeat.Tasks[:at], x.Heartbeat.Tasks[at+1:]...)
		}
	}
	return true
}

// EndTask ends a task.
func (w *Workers) EndTask(x *Worker, task, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range x.Heartbeat.Tasks {
		if t := &x.Heartbeat.Tasks[i]; t.ID == task && t.State != worker.TaskExited {
			t.State, t.Cause = worker.TaskExited, cause
		}
	}
}

// Send is the commander's side.
func (w *Workers) Send(ctx context.Context, address string, token, session uint64, orders []worker.Command) (*worker.Heartbeat, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.byID[address]
	if x == nil {
		return nil, false, errors.New("no such worker")
	}
	if x.TimeOutNext > 0 {
		x.TimeOutNext--
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second): // as the client of a controller
		}
		w.mu.Lock()
		return nil, false, errors.New("no answer in time")
	}
	if x.HoldCommands {
		x.late = append(x.late, func() { x.carryOut(token, session, orders) })
		return nil, false, errors.New("no answer")
	}
	done := x.carryOut(token, session, orders)
	if x.LoseAnswers {
		return nil, false, errors.New("answer lost")
	}
	r := x.next()
	return &r, done, nil
}
