package emulator

import (
	"maps"
	"slices"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// simulatedTask is an attempt at a task on a machine.
type simulatedTask struct {
	worker.Task
	jobAttempt   string        // the attempt at its job, as attemptKey has it
	remaining    time.Duration // that it still runs
	stateSince   time.Time
	saveDuration time.Duration
	onMachine    bool // the history has it on its machine
}

// spec is the task's job as its user uploaded it, or none.
func (t *simulatedTask) spec(h *History) job.Spec {
	id, _, _ := job.SplitTaskID(t.ID)
	spec, _ := h.Spec(id)
	return spec
}

// resumePoll is how often commands to a worker that hangs try again.
const resumePoll = 200 * time.Millisecond

// execute carries out commands that came straight to the worker, as soon as it does not
// hang, and returns its heartbeat after them. It is not ok if the machine ended before. It
// takes the cloud's mutex.
func (m *SimulatedMachine) execute(
	token, epoch uint64, commands []worker.Command,
) (h worker.Heartbeat, executed, ok bool) {
	for m.ctx.Err() == nil {
		m.cloud.mu.Lock()
		if !m.Hung {
			defer m.cloud.mu.Unlock()
			if executed = m.admits(token, epoch); executed {
				m.CommandsExecuted++
				m.executeAll(token, commands)
			}
			return m.nextHeartbeat(), executed, true
		}
		m.cloud.mu.Unlock()
		sleep(m.ctx, resumePoll)
	}
	return h, false, false
}

// executeAll executes commands in order. The cloud's mutex is held.
func (m *SimulatedMachine) executeAll(token uint64, commands []worker.Command) {
	if token > m.token {
		m.token = token
		m.notifyWorker()
	}
	for _, c := range commands {
		key := attemptKey(c.Task, c.Attempt)
		task := m.tasks[key]
		switch {
		case c.Op == opRun && task == nil:
			m.start(key, c)
		case c.Op == opKill && task != nil && task.State != worker.TaskExited:
			m.kill(task, c)
		case c.Op == opForget && task != nil && task.State == worker.TaskExited:
			delete(m.tasks, key)
		}
	}
}

func (m *SimulatedMachine) start(key string, c worker.Command) {
	id, index, _ := job.SplitTaskID(c.Task)
	task := &simulatedTask{
		Task:       worker.Task{ID: c.Task, Attempt: c.Attempt, State: worker.TaskFetching},
		jobAttempt: attemptKey(id, c.Attempt),
		stateSince: time.Now(),
	}
	m.tasks[key] = task
	m.notifyWorker()
	spec, known := m.cloud.history.Spec(id)
	gpus, otherAttempt := m.gpusBeside(task)
	switch {
	case otherAttempt:
		m.end(task, worker.CauseOtherAttempt)
	case !known:
		m.end(task, worker.CauseUnknownTask)
	case spec.GPUs+gpus > m.machineType.GPUs:
		m.end(task, worker.CauseNoCapacity)
	default:
		run := m.cloud.runTimes[id]
		task.remaining, task.saveDuration = run.first, spec.CheckpointDuration()
		if spec.Shape != job.Gang {
			task.remaining += time.Duration(index) * run.step
		}
	}
}

// gpusBeside counts the GPUs that the other tasks on the machine use, and reports whether
// one of them is another attempt at the same task.
func (m *SimulatedMachine) gpusBeside(task *simulatedTask) (gpus float64, otherAttempt bool) {
	for _, other := range m.tasks {
		if other == task || other.State == worker.TaskExited {
			continue
		}
		gpus += other.spec(m.cloud.history).GPUs
		otherAttempt = otherAttempt || other.ID == task.ID
	}
	return gpus, otherAttempt
}

// end ends a task.
func (m *SimulatedMachine) end(task *simulatedTask, cause string) {
	if task.onMachine {
		m.cloud.history.RecordTaskRemoval(task.ID, m.name)
		delete(m.cloud.gangs[task.jobAttempt], task.ID)
	}
	task.onMachine = false
	task.Cause = cause
	m.setState(task, worker.TaskExited)
}

func (m *SimulatedMachine) setState(task *simulatedTask, state string) {
	task.State, task.stateSince = state, time.Now()
	m.notifyWorker()
}

func (m *SimulatedMachine) kill(task *simulatedTask, c worker.Command) {
	grace := time.Duration(0)
	if c.GraceS != nil {
		grace = config.Seconds(*c.GraceS)
	}
	spec := task.spec(m.cloud.history)
	canSave := spec.CanCheckpoint() && task.saveDuration > 0 && grace >= task.saveDuration
	switch {
	case task.State == worker.TaskRunning && canSave:
		m.setState(task, worker.TaskCheckpointing)
	case task.State == worker.TaskCheckpointing && grace > 0:
		// It goes on saving.
	default:
		m.end(task, worker.CauseStopped)
	}
}

// PlantTask puts a task on the machine that no controller has started.
func (m *SimulatedMachine) PlantTask(task string, attempt uint64) {
	m.tasks[attemptKey(task, attempt)] = &simulatedTask{
		Task:       worker.Task{ID: task, Attempt: attempt, State: worker.TaskRunning},
		stateSince: time.Now(),
		remaining:  time.Hour,
	}
	m.notifyWorker()
}

// ListsTask reports whether a task is listed in the machine's heartbeats.
func (m *SimulatedMachine) ListsTask(task string) bool {
	for _, t := range m.tasks {
		if t.ID == task {
			return true
		}
	}
	return false
}

// StartCheckpoints has the tasks that can save do so from now on, for so long.
func (m *SimulatedMachine) StartCheckpoints(d time.Duration) {
	for _, task := range m.tasks {
		if task.State == worker.TaskRunning && task.saveDuration > 0 {
			task.saveDuration = d
			m.setState(task, worker.TaskCheckpointing)
		}
	}
}

// dropTasks ends and forgets all tasks, as when the machine goes or its lease expires.
func (m *SimulatedMachine) dropTasks() {
	for key, task := range m.tasks {
		if task.State != worker.TaskExited {
			m.end(task, worker.CauseStopped)
		}
		delete(m.tasks, key)
	}
}

// activeTasks counts the tasks that have not ended.
func (m *SimulatedMachine) activeTasks() (n int) {
	for _, task := range m.tasks {
		if task.State != worker.TaskExited {
			n++
		}
	}
	return n
}

// stepInterval is how finely the workers' time goes.
const stepInterval = 250 * time.Millisecond

// runTasks moves the tasks on, and ends the lease in time.
func (m *SimulatedMachine) runTasks() {
	tick := time.NewTicker(stepInterval)
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

// step is what a worker does at each tick, which was due at some time.
func (m *SimulatedMachine) step(due time.Time) {
	m.cloud.mu.Lock()
	defer m.cloud.mu.Unlock()
	if observe := m.cloud.timing.OnWorkerStep; observe != nil {
		observe(time.Since(due))
	}
	if time.Since(m.renewedAt) > m.cloud.settings.Workers.LeaseDuration {
		m.expireLease()
	}
	if m.Hung {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(m.tasks)) {
		m.stepTask(m.tasks[key])
	}
}

// expireLease ends all tasks: nobody may command them any more.
func (m *SimulatedMachine) expireLease() {
	m.epoch++
	m.renewedAt = time.Now()
	m.cloud.killedByLeaseEnd += m.activeTasks()
	m.dropTasks()
	m.notifyWorker()
}
