package emulator

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"robinstack/internal/worker"
)

// Workers is a set of workers that execute commands at once and do nothing on their own: tests send
// their heartbeats and end their tasks. mu guards byAddress and all workers.
type Workers struct {
	mu        sync.Mutex
	byAddress map[string]*Worker
}

// Worker is the worker of one machine. Its fields must be accessed only from Workers.WithLock, or
// while no commands are sent.
type Worker struct {
	Heartbeat      worker.Heartbeat // the last heartbeat, with the current tasks
	HoldCommands   bool             // commands get no response and are executed by DeliverHeldCommands
	CommandsToLose int              // number of upcoming command requests that are lost
	StartsToRefuse int              // number of upcoming starts that are refused for want of free resources
	Started        []string         // ids of all tasks started, in order

	heldCommands     []func()
	answeredCommands []func() // each carries out a copy of a request that was answered
}

// NewWorkers returns an empty set of workers.
func NewWorkers() *Workers { return &Workers{byAddress: map[string]*Worker{}} }

// Add adds a worker. Its address is the name of its machine.
func (w *Workers) Add(name, typeName, zone string) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	added := &Worker{Heartbeat: worker.Heartbeat{
		Machine: name, Address: name, Type: typeName, Zone: zone, WorkerEpoch: 1, Sequence: 1,
	}}
	w.byAddress[name] = added
	return added
}

// WithLock calls f with the mutex of all workers held. f must not call methods of w.
func (w *Workers) WithLock(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// NextHeartbeat returns a worker's next heartbeat.
func (w *Workers) NextHeartbeat(sender *Worker) worker.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	return sender.nextHeartbeat()
}

func (w *Worker) nextHeartbeat() worker.Heartbeat {
	w.Heartbeat.Sequence++
	h := w.Heartbeat
	h.Tasks = append([]worker.Task(nil), w.Heartbeat.Tasks...)
	return h
}

// DeliverHeartbeatResponse delivers the response to a heartbeat to its worker, which executes the
// commands.
func (w *Workers) DeliverHeartbeatResponse(recipient *Worker, response worker.HeartbeatResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	recipient.executeCommands(response.FencingToken, recipient.Heartbeat.WorkerEpoch, response.Commands)
}

// DeliverHeldCommands executes the commands held because of HoldCommands.
func (w *Workers) DeliverHeldCommands(recipient *Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, deliver := range recipient.heldCommands {
		deliver()
	}
	recipient.heldCommands = nil
}

// RepeatAnsweredCommands has a copy of each answered request with commands arrive, in order.
func (w *Workers) RepeatAnsweredCommands(recipient *Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, deliver := range recipient.answeredCommands {
		deliver()
	}
}

// EndTask makes a task exit with the given cause.
func (w *Workers) EndTask(owner *Worker, task, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range owner.Heartbeat.Tasks {
		if t := &owner.Heartbeat.Tasks[i]; t.ID == task && t.State != worker.TaskExited {
			t.State, t.Cause = worker.TaskExited, cause
		}
	}
}

// executeCommands executes commands and reports true, unless they are for another worker epoch or
// carry a fencing token lower than the highest one seen.
func (w *Worker) executeCommands(token, epoch uint64, commands []worker.Command) bool {
	if token < w.Heartbeat.FencingToken || epoch != w.Heartbeat.WorkerEpoch {
		return false
	}
	w.Heartbeat.FencingToken = token
	for _, c := range commands {
		w.executeCommand(c)
	}
	return true
}

func (w *Worker) executeCommand(c worker.Command) {
	h, index := &w.Heartbeat, w.indexOfAttempt(c)
	switch {
	case c.Op == opStart && index < 0 && w.StartsToRefuse > 0:
		w.StartsToRefuse--
		refused := worker.Task{ID: c.Task, Attempt: c.Attempt, State: worker.TaskExited, Cause: worker.CauseNoCapacity}
		h.Tasks = append(h.Tasks, refused)
	case c.Op == opStart && index < 0:
		w.Started = append(w.Started, c.Task)
		h.Tasks = append(h.Tasks, worker.Task{ID: c.Task, Attempt: c.Attempt, State: worker.TaskRunning})
	case c.Op == opStop && index >= 0 && h.Tasks[index].State != worker.TaskExited:
		h.Tasks[index].State, h.Tasks[index].Cause = worker.TaskExited, worker.CauseStopped
	case c.Op == opForget && index >= 0:
		h.Tasks = append(h.Tasks[:index], h.Tasks[index+1:]...)
	}
}

// indexOfAttempt returns the index of the attempt that a command names, or -1.
func (w *Worker) indexOfAttempt(c worker.Command) int {
	index := -1
	for i, t := range w.Heartbeat.Tasks {
		if t.ID == c.Task && t.Attempt == c.Attempt {
			index = i
		}
	}
	return index
}

// errUnknownWorker means that there is no worker at an address.
var errUnknownWorker = errors.New("unknown worker")

// Send sends commands to the worker at address and reports whether the worker executed them. It
// implements the worker.Commander interface.
func (w *Workers) Send(
	ctx context.Context, address string, token, epoch uint64, commands []worker.Command,
) (*worker.Heartbeat, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	target := w.byAddress[address]
	if target == nil {
		return nil, false, fmt.Errorf("%w: address %q", errUnknownWorker, address)
	}
	if target.CommandsToLose > 0 {
		target.CommandsToLose--
		w.mu.Unlock()
		Sleep(ctx, clientTimeout)
		w.mu.Lock()
		return nil, false, errResponseTimeout
	}
	if target.HoldCommands {
		target.heldCommands = append(target.heldCommands, func() { target.executeCommands(token, epoch, commands) })
		return nil, false, errNoResponse
	}
	executed := target.executeCommands(token, epoch, commands)
	target.answeredCommands = append(target.answeredCommands, func() { target.executeCommands(token, epoch, commands) })
	h := target.nextHeartbeat()
	return &h, executed, nil
}
