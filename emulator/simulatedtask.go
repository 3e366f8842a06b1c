package emulator

import (
	"maps"
	"slices"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// simulatedTask is an attempt at a task on a SimulatedMachine.
type simulatedTask struct {
	worker.Task
	jobAttemptKey      string        // identifies the attempt at the job
	remainingRunTime   time.Duration // until the task completes
	stateSince         time.Time
	checkpointDuration time.Duration
	recordedOnMachine  bool // the history has recorded the task's start but not its removal
}

// spec returns the spec of the task's job as it was submitted, or an empty spec if nobody has
// submitted the job.
func (t *simulatedTask) spec(h *History) job.Spec {
	id, _, _ := job.SplitTaskID(t.ID)
	spec, _ := h.SubmittedSpec(id)
	return spec
}

// hungPollInterval is the interval at which direct commands check whether a hung worker has
// resumed.
const hungPollInterval = 200 * time.Millisecond

// execute executes direct commands as soon as the worker is not hung. It returns the worker's
// heartbeat after that and whether the worker accepted the commands. ok is false if the machine
// stopped first. A copy of the request may arrive later. The cloud's mutex must not be held.
func (m *SimulatedMachine) execute(
	token, epoch uint64, commands []worker.Command,
) (heartbeat worker.Heartbeat, executed, ok bool) {
	heartbeat, executed, ok = m.executeOnce(token, epoch, commands)
	if ok {
		m.cloud.copies.Repeat(m.ctx, CommandMessage, func() { m.executeOnce(token, epoch, commands) })
	}
	return heartbeat, executed, ok
}

func (m *SimulatedMachine) executeOnce(
	token, epoch uint64, commands []worker.Command,
) (heartbeat worker.Heartbeat, executed, ok bool) {
	for m.ctx.Err() == nil {
		m.cloud.mu.Lock()
		if !m.Hung {
			defer m.cloud.mu.Unlock()
			if executed = m.acceptsCommands(token, epoch); executed {
				m.CommandsExecuted++
				m.executeCommands(token, commands)
			}
			return m.nextHeartbeat(), executed, true
		}
		m.cloud.mu.Unlock()
		Sleep(m.ctx, hungPollInterval)
	}
	return heartbeat, false, false
}

// executeCommands executes commands in order. The caller must hold the cloud's mutex.
func (m *SimulatedMachine) executeCommands(token uint64, commands []worker.Command) {
	if token > m.token {
		m.token = token
		m.requestHeartbeatForToken()
	}
	for _, c := range commands {
		key := attemptKey(c.Task, c.Attempt)
		task := m.tasks[key]
		switch {
		case c.Op == opStart && task == nil:
			m.startAttempt(key, c)
		case c.Op == opStop && task != nil && task.State != worker.TaskExited:
			m.stopTask(task, c)
		case c.Op == opForget && task != nil && task.State == worker.TaskExited:
			delete(m.tasks, key)
			m.requestHeartbeat()
		}
	}
}

func (m *SimulatedMachine) startAttempt(key string, c worker.Command) {
	id, index, _ := job.SplitTaskID(c.Task)
	task := &simulatedTask{
		Task:          worker.Task{ID: c.Task, Attempt: c.Attempt, State: worker.TaskFetching},
		jobAttemptKey: attemptKey(id, c.Attempt),
		stateSince:    time.Now(),
	}
	m.tasks[key] = task
	m.requestHeartbeat()
	spec, known := m.cloud.history.SubmittedSpec(id)
	gpus, otherAttempt := m.gpusUsedByOtherTasks(task)
	switch {
	case otherAttempt:
		m.endTask(task, worker.CauseOtherAttempt)
	case !known:
		m.endTask(task, worker.CauseUnknownTask)
	case m.RefusesStarts || spec.GPUs+gpus > m.machineType.GPUs:
		m.endTask(task, worker.CauseNoCapacity)
	default:
		runTime := m.cloud.runTimes[id]
		task.remainingRunTime, task.checkpointDuration = runTime.firstTask, spec.CheckpointDuration()
		if spec.Shape != job.Gang {
			task.remainingRunTime += time.Duration(index) * runTime.increment
		}
	}
}

// gpusUsedByOtherTasks returns the GPUs that the other tasks on the machine use, and reports
// whether one of these is another attempt at the same task.
func (m *SimulatedMachine) gpusUsedByOtherTasks(task *simulatedTask) (gpus float64, otherAttempt bool) {
	for _, other := range m.tasks {
		if other == task || other.State == worker.TaskExited {
			continue
		}
		gpus += other.spec(m.cloud.history).GPUs
		otherAttempt = otherAttempt || other.ID == task.ID
	}
	return gpus, otherAttempt
}

// endTask ends an attempt with the given cause. If it was on the machine, the history records its
// removal.
func (m *SimulatedMachine) endTask(task *simulatedTask, cause string) {
	if task.recordedOnMachine {
		m.cloud.history.RecordTaskRemoval(task.ID, m.name)
		delete(m.cloud.gangs[task.jobAttemptKey], task.ID)
	}
	task.recordedOnMachine = false
	task.Cause = cause
	m.setState(task, worker.TaskExited)
}

func (m *SimulatedMachine) setState(task *simulatedTask, state string) {
	task.State, task.stateSince = state, time.Now()
	m.requestHeartbeat()
}

func (m *SimulatedMachine) stopTask(task *simulatedTask, c worker.Command) {
	grace := time.Duration(0)
	if c.GraceS != nil {
		grace = config.Seconds(*c.GraceS)
	}
	spec := task.spec(m.cloud.history)
	canCheckpoint := spec.CanCheckpoint() && task.checkpointDuration > 0 && grace >= task.checkpointDuration
	switch {
	case task.State == worker.TaskRunning && canCheckpoint:
		m.setState(task, worker.TaskCheckpointing)
	case task.State == worker.TaskCheckpointing && grace > 0:
		// The task continues to save its checkpoint.
	default:
		m.endTask(task, worker.CauseStopped)
	}
}

// InjectTask adds a running task that no controller has started.
func (m *SimulatedMachine) InjectTask(task string, attempt uint64) {
	m.tasks[attemptKey(task, attempt)] = &simulatedTask{
		Task:             worker.Task{ID: task, Attempt: attempt, State: worker.TaskRunning},
		stateSince:       time.Now(),
		remainingRunTime: time.Hour,
	}
	m.requestHeartbeat()
}

// ListsTask reports whether the machine's heartbeats list a task, in whatever state.
func (m *SimulatedMachine) ListsTask(task string) bool {
	for _, t := range m.tasks {
		if t.ID == task {
			return true
		}
	}
	return false
}

// StartCheckpoints makes all running tasks that can save a checkpoint start to do so. Saving takes
// d.
func (m *SimulatedMachine) StartCheckpoints(d time.Duration) {
	for _, task := range m.tasks {
		if task.State == worker.TaskRunning && task.checkpointDuration > 0 {
			task.checkpointDuration = d
			m.setState(task, worker.TaskCheckpointing)
		}
	}
}

// dropTasks ends and removes all tasks, because the machine stops or its lease has expired.
func (m *SimulatedMachine) dropTasks() {
	for key, task := range m.tasks {
		if task.State != worker.TaskExited {
			m.endTask(task, worker.CauseStopped)
		}
		delete(m.tasks, key)
	}
}

// activeTasks returns the number of tasks that have not exited.
func (m *SimulatedMachine) activeTasks() (n int) {
	for _, task := range m.tasks {
		if task.State != worker.TaskExited {
			n++
		}
	}
	return n
}

// taskStepInterval is the interval at which workers update their tasks and check their leases.
const taskStepInterval = 250 * time.Millisecond

// runTasks updates the tasks and checks the lease periodically, until the machine stops.
func (m *SimulatedMachine) runTasks() {
	tick := time.NewTicker(taskStepInterval)
	defer tick.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case due := <-tick.C:
			m.step(due)
		}
	}
}

// step checks the lease and updates all tasks. due is the time for which the step was scheduled.
func (m *SimulatedMachine) step(due time.Time) {
	m.cloud.mu.Lock()
	defer m.cloud.mu.Unlock()
	if observe := m.cloud.timing.OnWorkerStep; observe != nil {
		observe(time.Since(due))
	}
	if m.leaseDue() {
		m.expireLease()
	}
	if m.Hung {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(m.tasks)) {
		m.advanceTask(m.tasks[key])
	}
}

// expireDueLeases expires, in real time, all leases that are due. Workers do this by themselves at each
// step, but a step may be late on a busy host. The caller must hold c.mu.
func (c *SimulatedCloud) expireDueLeases() {
	if c.network == nil {
		return
	}
	for _, m := range c.machines {
		if m.IsUp() && m.leaseDue() {
			m.expireLease()
		}
	}
}

// leaseDue reports whether the worker's lease has expired.
func (m *SimulatedMachine) leaseDue() bool {
	return time.Since(m.renewedAt) > m.cloud.settings.Workers.LeaseDuration
}

// expireLease begins a new worker epoch and ends all tasks: once its lease has expired, the machine
// no longer has an owner.
func (m *SimulatedMachine) expireLease() {
	m.epoch++
	m.renewedAt = time.Now()
	m.cloud.killedByLeaseExpiry += m.activeTasks()
	m.dropTasks()
	m.requestHeartbeat()
}
