package emulator

import (
	"time"

	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// Operations that a command may name.
const (
	opRun    = "run"
	opKill   = "kill"
	opForget = "forget"
)

// stepTask moves one task on. A task fetches its image; a gang's then waits until all of
// the gang are on machines; then it runs, and saves if it is stopped with time to do so.
func (m *SimulatedMachine) stepTask(task *simulatedTask) {
	spec := task.spec(m.cloud.history)
	switch task.State {
	case worker.TaskFetching:
		m.stepFetching(task, &spec)
	case worker.TaskAwaitingGang:
		m.stepAwaitingGang(task, &spec)
	case worker.TaskRunning:
		m.stepRunning(task, &spec)
	case worker.TaskCheckpointing:
		if time.Since(task.stateSince) > task.saveDuration {
			task.Checkpointed = true
			m.end(task, worker.CauseStopped)
		}
	}
}

// defaultFetchTime is how long each fetch takes where the timing does not say.
const defaultFetchTime = time.Second

// fetchTime is how long the fetch of an image takes.
func (m *SimulatedMachine) fetchTime(image string) time.Duration {
	fetch := m.cloud.timing.ImageFetch
	switch {
	case fetch == 0:
		return defaultFetchTime
	case m.images[image]:
		return 0
	}
	return fetch
}

func (m *SimulatedMachine) stepFetching(task *simulatedTask, spec *job.Spec) {
	if time.Since(task.stateSince) < m.fetchTime(spec.Image) {
		return
	}
	m.images[spec.Image] = true
	history := m.cloud.history
	if history.TaskCompleted(task.ID) {
		m.end(task, worker.CauseDone)
		return
	}
	history.RecordTaskStart(TaskStart{Task: task.ID, Machine: m.name, MachineType: m.machineType.Name, Zone: m.zone})
	task.onMachine = true
	gang := m.cloud.gangs[task.jobAttempt]
	if gang == nil {
		gang = map[string]*simulatedTask{}
		m.cloud.gangs[task.jobAttempt] = gang
	}
	gang[task.ID] = task
	if spec.Shape == job.Gang {
		m.setState(task, worker.TaskAwaitingGang)
		return
	}
	m.setState(task, worker.TaskRunning)
}

func (m *SimulatedMachine) stepAwaitingGang(task *simulatedTask, spec *job.Spec) {
	gang := m.cloud.gangs[task.jobAttempt]
	complete := len(gang) == spec.Tasks
	for _, other := range gang {
		complete = complete && (other.State == worker.TaskAwaitingGang || other.State == worker.TaskRunning)
	}
	switch {
	case complete:
		m.setState(task, worker.TaskRunning)
	case time.Since(task.stateSince) > m.cloud.settings.Workers.GangWaitTimeout:
		m.end(task, worker.CauseGangIncomplete)
	}
}

func (m *SimulatedMachine) stepRunning(task *simulatedTask, spec *job.Spec) {
	if spec.Shape == job.Gang && m.endsWithGang(task, spec) {
		return
	}
	task.remaining -= stepInterval
	if task.remaining > 0 || spec.Shape == job.Service {
		return
	}
	history := m.cloud.history
	if spec.Shape == job.Gang {
		for other := range m.cloud.gangs[task.jobAttempt] {
			history.RecordTaskCompletion(other)
		}
	}
	history.RecordTaskCompletion(task.ID)
	m.end(task, worker.CauseDone)
	if observe := m.cloud.onTaskCompleted; observe != nil {
		go observe(task.ID)
	}
}

// endsWithGang ends a task of a gang that has completed, or has lost one for too long.
func (m *SimulatedMachine) endsWithGang(task *simulatedTask, spec *job.Spec) bool {
	alone := len(m.cloud.gangs[task.jobAttempt]) < spec.Tasks
	switch {
	case m.cloud.history.TaskCompleted(task.ID):
		m.end(task, worker.CauseDone)
	case alone && time.Since(task.stateSince) > m.cloud.settings.Workers.GangPeerTimeout:
		m.end(task, worker.CauseGangPeerLost)
	default:
		return false
	}
	return true
}
