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
	Report worker.Heartbeat
	// Deaf loses commands; LoseAnswers carries them out but loses the answer.
	Deaf, LoseAnswers bool
	Lost              int      // commands to be lost without a word, from the next on
	Starts            []string // every start that was carried out
	late              []func()
}

// NewWorkers returns no workers.
func NewWorkers() *Workers { return &Workers{byID: map[string]*Worker{}} }

// Add puts up a worker.
func (w *Workers) Add(name, typeName, zone string) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := &Worker{Report: worker.Heartbeat{Machine: name, Address: name, Type: typeName, Zone: zone, WorkerEpoch: 1, Sequence: 1}}
	w.byID[name] = x
	return x
}

// Do runs f with the worker's state held still.
func (w *Workers) Do(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// Next returns the worker's next report.
func (w *Workers) Next(x *Worker) worker.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	return x.next()
}

func (x *Worker) next() worker.Heartbeat {
	x.Report.Sequence++
	r := x.Report
	r.Tasks = append([]worker.Task(nil), x.Report.Tasks...)
	return r
}

// Answer has the worker take an answer to its report.
func (w *Workers) Answer(x *Worker, a worker.HeartbeatResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.carryOut(a.FencingToken, x.Report.WorkerEpoch, a.Commands)
}

// DeliverLate carries out the commands that were lost on the way.
func (w *Workers) DeliverLate(x *Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range x.late {
		f()
	}
	x.late = nil
}

func (x *Worker) carryOut(token, session uint64, orders []worker.Command) bool {
	if token < x.Report.FencingToken || session != x.Report.WorkerEpoch {
		return false
	}
	x.Report.FencingToken = token
	for _, o := range orders {
		at := -1
		for i, t := range x.Report.Tasks {
			if t.ID == o.Task && t.Attempt == o.Attempt {
				at = i
			}
		}
		switch {
		case o.Op == "run" && at < 0:
			x.Starts = append(x.Starts, o.Task)
			x.Report.Tasks = append(x.Report.Tasks, worker.Task{ID: o.Task, Attempt: o.Attempt, State: worker.TaskRunning})
		case o.Op == "kill" && at >= 0 && x.Report.Tasks[at].State != worker.TaskExited:
			x.Report.Tasks[at].State, x.Report.Tasks[at].Cause = worker.TaskExited, worker.CauseStopped
		case o.Op == "forget" && at >= 0:
			x.Report.Tasks = append(x.Report.Tasks[:at], x.Report.Tasks[at+1:]...)
		}
	}
	return true
}

// End ends a task.
func (w *Workers) End(x *Worker, task, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range x.Report.Tasks {
		if t := &x.Report.Tasks[i]; t.ID == task && t.State != worker.TaskExited {
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
	if x.Lost > 0 {
		x.Lost--
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second): // as the client of a controller
		}
		w.mu.Lock()
		return nil, false, errors.New("no answer in time")
	}
	if x.Deaf {
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
