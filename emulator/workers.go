package emulator

import (
	"context"
	"errors"
	"sync"

	"robinstack/internal/worker"
)

// Workers is a set of workers that carry out commands at once and do nothing by themselves:
// tests send their heartbeats and end their tasks. Its mutex guards all workers.
type Workers struct {
	mu        sync.Mutex
	byAddress map[string]*Worker
}

// Worker is one machine's worker. Its fields are for use from Workers.WithLock, or while
// nothing sends commands.
type Worker struct {
	Heartbeat    worker.Heartbeat // the last that was sent, with the tasks as they are now
	HoldCommands bool             // commands get no answer and are carried out by DeliverHeldCommands
	TimeOutNext  int              // commands that are lost without an answer, from the next on
	Started      []string         // every task that was started, in order

	heldCommands []func()
}

// NewWorkers returns no workers.
func NewWorkers() *Workers { return &Workers{byAddress: map[string]*Worker{}} }

// Add adds the worker of a machine, whose address is its name.
func (w *Workers) Add(name, typeName, zone string) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	added := &Worker{Heartbeat: worker.Heartbeat{
		Machine: name, Address: name, Type: typeName, Zone: zone, WorkerEpoch: 1, Sequence: 1,
	}}
	w.byAddress[name] = added
	return added
}

// WithLock runs f with all workers held still.
func (w *Workers) WithLock(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// NextHeartbeat returns a worker's next heartbeat.
func (w *Workers) NextHeartbeat(of *Worker) worker.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	return of.nextHeartbeat()
}

func (w *Worker) nextHeartbeat() worker.Heartbeat {
	w.Heartbeat.Sequence++
	h := w.Heartbeat
	h.Tasks = append([]worker.Task(nil), w.Heartbeat.Tasks...)
	return h
}

// DeliverAnswer has a worker take the answer to its heartbeat.
func (w *Workers) DeliverAnswer(to *Worker, r worker.HeartbeatResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	to.execute(r.FencingToken, to.Heartbeat.WorkerEpoch, r.Commands)
}

// DeliverHeldCommands carries out the commands that were held on the way.
func (w *Workers) DeliverHeldCommands(to *Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, execute := range to.heldCommands {
		execute()
	}
	to.heldCommands = nil
}

// EndTask ends a task.
func (w *Workers) EndTask(of *Worker, task, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range of.Heartbeat.Tasks {
		if t := &of.Heartbeat.Tasks[i]; t.ID == task && t.State != worker.TaskExited {
			t.State, t.Cause = worker.TaskExited, cause
		}
	}
}

// execute carries out commands, unless they are for another worker epoch or under a fencing
// token that has been replaced.
func (w *Worker) execute(token, epoch uint64, commands []worker.Command) bool {
	if token < w.Heartbeat.FencingToken || epoch != w.Heartbeat.WorkerEpoch {
		return false
	}
	w.Heartbeat.FencingToken = token
	for _, c := range commands {
		w.executeOne(c)
	}
	return true
}

func (w *Worker) executeOne(c worker.Command) {
	h, at := &w.Heartbeat, w.find(c)
	switch {
	case c.Op == opRun && at < 0:
		w.Started = append(w.Started, c.Task)
		h.Tasks = append(h.Tasks, worker.Task{ID: c.Task, Attempt: c.Attempt, State: worker.TaskRunning})
	case c.Op == opKill && at >= 0 && h.Tasks[at].State != worker.TaskExited:
		h.Tasks[at].State, h.Tasks[at].Cause = worker.TaskExited, worker.CauseStopped
	case c.Op == opForget && at >= 0:
		h.Tasks = append(h.Tasks[:at], h.Tasks[at+1:]...)
	}
}

// find returns the index of the attempt that a command names, or -1.
func (w *Worker) find(c worker.Command) int {
	at := -1
	for i, t := range w.Heartbeat.Tasks {
		if t.ID == c.Task && t.Attempt == c.Attempt {
			at = i
		}
	}
	return at
}

// errUnknownWorker says that nobody is at an address.
var errUnknownWorker = errors.New("no such worker")

// Send carries commands to the worker at an address, as a worker.Commander.
func (w *Workers) Send(
	ctx context.Context, address string, token, epoch uint64, commands []worker.Command,
) (*worker.Heartbeat, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	to := w.byAddress[address]
	if to == nil {
		return nil, false, errUnknownWorker
	}
	if to.TimeOutNext > 0 {
		to.TimeOutNext--
		w.mu.Unlock()
		sleep(ctx, clientTimeout)
		w.mu.Lock()
		return nil, false, errNoAnswerInTime
	}
	if to.HoldCommands {
		to.heldCommands = append(to.heldCommands, func() { to.execute(token, epoch, commands) })
		return nil, false, errNoAnswer
	}
	executed := to.execute(token, epoch, commands)
	h := to.nextHeartbeat()
	return &h, executed, nil
}
