package emulator

import (
	"context"
	"os/exec"
	"strings"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// localTask is an attempt at a task on a machine of a local cloud. The machine's mutex
// guards its state, its cause and stopped.
type localTask struct {
	machine *LocalMachine
	id      string
	job     string
	attempt uint64
	spec    *job.Spec
	state   string
	cause   string

	stop    chan struct{} // closed once it is to stop
	stopped bool
}

func newLocalTask(m *LocalMachine, c worker.Command) *localTask {
	jobID, _, _ := strings.Cut(c.Task, "/")
	return &localTask{
		machine: m, id: c.Task, job: jobID, attempt: c.Attempt, state: worker.TaskFetching, stop: make(chan struct{}),
	}
}

// jobAttempt names the attempt at the task's job.
func (t *localTask) jobAttempt() string { return attemptKey(t.job, t.attempt) }

// requestStop has the task stop. The machine's mutex is held.
func (t *localTask) requestStop() {
	if !t.stopped {
		t.stopped = true
		close(t.stop)
	}
}

// setState sets what the machine's heartbeats say of the task, unless it has ended.
func (t *localTask) setState(state, cause string) {
	t.machine.mu.Lock()
	if t.state != worker.TaskExited {
		t.state, t.cause = state, cause
	}
	t.machine.mu.Unlock()
	t.machine.notifyWorker()
}

// finish ends the task. The record is told first: once a heartbeat has it, users may be
// told, and it may be started elsewhere.
func (t *localTask) finish(cause string) {
	t.machine.cloud.record.recordEnd(t, cause == worker.CauseDone)
	t.setState(worker.TaskExited, cause)
}

// run takes the task through its states, until its machine ends.
func (t *localTask) run(ctx context.Context) {
	t.machine.cloud.record.recordStart(t)
	if cause := t.awaitGang(); cause != "" {
		t.finish(cause)
		return
	}
	t.setState(worker.TaskRunning, "")
	commandCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var failure error
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		failure = runCommand(commandCtx, t.spec)
	}()
	select {
	case <-t.stop:
		cancel()
		<-exited
		t.finish(worker.CauseStopped)
	case <-exited:
		if failure != nil {
			t.finish(worker.CauseFailed)
			return
		}
		t.finish(worker.CauseDone)
	}
}

// How long a member of a gang waits for the others, and how often it looks for them.
const (
	gangWaitTimeout = 20 * time.Second
	gangPoll        = 20 * time.Millisecond
)

// awaitGang waits until all tasks of a gang are on machines. It returns the cause for which
// the task ends instead, or "".
func (t *localTask) awaitGang() (cause string) {
	timeout := time.After(gangWaitTimeout)
	for t.spec.Shape == job.Gang && !t.machine.cloud.record.gangIsComplete(t) {
		t.setState(worker.TaskAwaitingGang, "")
		select {
		case <-t.stop:
			return worker.CauseStopped
		case <-timeout:
			return worker.CauseGangIncomplete
		case <-time.After(gangPoll):
		}
	}
	return ""
}

// shellPrefix marks images that are commands for the shell.
const shellPrefix = "sh:"

// runCommand does what the task is for. Commands are small: what the image names after
// "sh:" is run by the shell, and anything else takes as long as its owner estimated.
func runCommand(ctx context.Context, s *job.Spec) error {
	if line, ok := strings.CutPrefix(s.Image, shellPrefix); ok {
		return exec.CommandContext(ctx, "sh", "-c", line).Run()
	}
	if !sleep(ctx, config.Seconds(s.EstimateS)) {
		return ctx.Err()
	}
	return nil
}
