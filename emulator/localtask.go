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

// localTask is an attempt at a task on a machine of a LocalCloud. The machine's mutex guards state,
// cause and stopRequested.
type localTask struct {
	machine *LocalMachine
	id      string
	job     string
	attempt uint64
	spec    *job.Spec
	state   string
	cause   string

	stop          chan struct{} // closed to request the stop of the task
	stopRequested bool
}

func newLocalTask(m *LocalMachine, c worker.Command) *localTask {
	jobID, _, _ := strings.Cut(c.Task, "/")
	return &localTask{
		machine: m, id: c.Task, job: jobID, attempt: c.Attempt, state: worker.TaskFetching, stop: make(chan struct{}),
	}
}

// jobAttemptKey identifies the attempt at the task's job that this attempt belongs to.
func (t *localTask) jobAttemptKey() string { return attemptKey(t.job, t.attempt) }

// requestStop asks the task to stop. The caller must hold the machine's mutex.
func (t *localTask) requestStop() {
	if !t.stopRequested {
		t.stopRequested = true
		close(t.stop)
	}
}

// setState sets the state and cause that heartbeats report for the task, unless it has exited.
func (t *localTask) setState(state, cause string) {
	t.machine.mu.Lock()
	if t.state != worker.TaskExited {
		t.state, t.cause = state, cause
	}
	t.machine.mu.Unlock()
	t.machine.requestHeartbeat()
}

// finish ends the attempt. It updates the history first: as soon as a heartbeat reports the exit,
// the user may be told and the task may be started on another machine.
func (t *localTask) finish(cause string) {
	t.machine.cloud.history.recordRemoval(t, cause == worker.CauseDone)
	t.setState(worker.TaskExited, cause)
}

// run executes the attempt until it exits or the machine is deleted.
func (t *localTask) run(ctx context.Context) {
	t.machine.cloud.history.recordStart(t)
	if cause := t.awaitGang(); cause != "" {
		t.finish(cause)
		return
	}
	t.setState(worker.TaskRunning, "")
	commandCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		err = runCommand(commandCtx, t.spec)
	}()
	select {
	case <-t.stop:
		cancel()
		<-exited
		t.finish(worker.CauseStopped)
	case <-exited:
		if err != nil {
			t.finish(worker.CauseFailed)
			return
		}
		t.finish(worker.CauseDone)
	}
}

// How long a task of a gang waits for the others, and how often it checks whether they are on
// machines.
const (
	gangWaitTimeout  = 20 * time.Second
	gangPollInterval = 20 * time.Millisecond
)

// awaitGang waits until all tasks of the gang's attempt are on machines. It returns "" once they
// are or if the job is not a gang, and otherwise the cause for which the attempt must end.
func (t *localTask) awaitGang() (cause string) {
	timeout := time.After(gangWaitTimeout)
	for t.spec.Shape == job.Gang && !t.machine.cloud.history.gangIsComplete(t) {
		t.setState(worker.TaskAwaitingGang, "")
		select {
		case <-t.stop:
			return worker.CauseStopped
		case <-timeout:
			return worker.CauseGangIncomplete
		case <-time.After(gangPollInterval):
		}
	}
	return ""
}

// shellPrefix marks an image name that is a shell command.
const shellPrefix = "sh:"

// runCommand does the work of the task. If the image name begins with "sh:", the rest is run by the
// shell; otherwise the task sleeps for the duration that the user estimated.
func runCommand(ctx context.Context, s *job.Spec) error {
	if line, ok := strings.CutPrefix(s.Image, shellPrefix); ok {
		return exec.CommandContext(ctx, "sh", "-c", line).Run()
	}
	if !Sleep(ctx, config.Seconds(s.EstimateS)) {
		return ctx.Err()
	}
	return nil
}
