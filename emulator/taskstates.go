package emulator

import (
	"time"

	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// Operations of commands on the wire.
const (
	opStart  = "run"
	opStop   = "kill"
	opForget = "forget"
)

// advanceTask updates the state of one task. A task fetches its image, waits for the other tasks if
// it belongs to a gang, and runs. If it is stopped with enough grace, it saves a checkpoint before
// it exits.
func (m *SimulatedMachine) advanceTask(task *simulatedTask) {
	spec := task.spec(m.cloud.history)
	switch task.State {
	case worker.TaskFetching:
		m.advanceFetching(task, &spec)
	case worker.TaskAwaitingGang:
		m.advanceAwaitingGang(task, &spec)
	case worker.TaskRunning:
		m.advanceRunning(task, &spec)
	case worker.TaskCheckpointing:
		if time.Since(task.stateSince) > task.checkpointDuration {
			task.Checkpointed = true
			m.endTask(task, worker.CauseStopped)
		}
	}
}

// defaultFetchTime is the duration of each image fetch if Timing.ImageFetch is 0.
const defaultFetchTime = time.Second

// fetchTime returns how long the machine takes to fetch an image.
func (m *SimulatedMachine) fetchTime(image string) time.Duration {
	fetchTime := m.cloud.timing.ImageFetch
	switch {
	case fetchTime == 0:
		return defaultFetchTime
	case m.images[image]:
		return 0
	}
	return fetchTime
}

func (m *SimulatedMachine) advanceFetching(task *simulatedTask, spec *job.Spec) {
	if time.Since(task.stateSince) < m.fetchTime(spec.Image) {
		return
	}
	m.images[spec.Image] = true
	history := m.cloud.history
	if history.TaskCompleted(task.ID) {
		m.endTask(task, worker.CauseDone)
		return
	}
	m.cloud.expireDueLeases()
	history.RecordTaskStart(TaskStart{Task: task.ID, Machine: m.name, MachineType: m.machineType.Name, Zone: m.zone})
	task.recordedOnMachine = true
	gang := m.cloud.gangs[task.jobAttemptKey]
	if gang == nil {
		gang = map[string]*simulatedTask{}
		m.cloud.gangs[task.jobAttemptKey] = gang
	}
	gang[task.ID] = task
	if spec.Shape == job.Gang {
		m.setState(task, worker.TaskAwaitingGang)
		return
	}
	m.setState(task, worker.TaskRunning)
}

func (m *SimulatedMachine) advanceAwaitingGang(task *simulatedTask, spec *job.Spec) {
	gang := m.cloud.gangs[task.jobAttemptKey]
	complete := len(gang) == spec.Tasks
	for _, other := range gang {
		complete = complete && (other.State == worker.TaskAwaitingGang || other.State == worker.TaskRunning)
	}
	switch {
	case complete:
		m.setState(task, worker.TaskRunning)
	case time.Since(task.stateSince) > m.cloud.settings.Workers.GangWaitTimeout:
		m.endTask(task, worker.CauseGangIncomplete)
	}
}

func (m *SimulatedMachine) advanceRunning(task *simulatedTask, spec *job.Spec) {
	if spec.Shape == job.Gang && m.endIfGangEnded(task, spec) {
		return
	}
	if m.failsNow(task, spec) {
		m.endTask(task, worker.CauseFailed)
		return
	}
	task.remainingRunTime -= taskStepInterval
	if task.remainingRunTime > 0 || spec.Shape == job.Service {
		return
	}
	history := m.cloud.history
	if spec.Shape == job.Gang {
		for other := range m.cloud.gangs[task.jobAttemptKey] {
			history.RecordTaskCompletion(other)
		}
	}
	history.RecordTaskCompletion(task.ID)
	m.endTask(task, worker.CauseDone)
	if observe := m.cloud.onTaskCompleted; observe != nil {
		go observe(task.ID)
	}
}

// failsNow reports whether the task is to fail because of SetFailFirst, and counts the failure.
func (m *SimulatedMachine) failsNow(task *simulatedTask, spec *job.Spec) bool {
	c := m.cloud
	_, index, _ := job.SplitTaskID(task.ID)
	spared := c.failFirst == FailNone || c.failFirst == FailOddTasks && index%2 == 0
	if spared || spec.Shape == job.Gang || c.failedTasks[task.ID] {
		return false
	}
	c.failedTasks[task.ID] = true
	return true
}

// endIfGangEnded ends a task of a gang if the gang has completed, or if the gang is incomplete and
// the task has been running for longer than GangPeerTimeout. It reports whether it ended the task.
func (m *SimulatedMachine) endIfGangEnded(task *simulatedTask, spec *job.Spec) bool {
	incomplete := len(m.cloud.gangs[task.jobAttemptKey]) < spec.Tasks
	switch {
	case m.cloud.history.TaskCompleted(task.ID):
		m.endTask(task, worker.CauseDone)
	case incomplete && time.Since(task.stateSince) > m.cloud.settings.Workers.GangPeerTimeout:
		m.endTask(task, worker.CauseGangPeerLost)
	default:
		return false
	}
	return true
}
