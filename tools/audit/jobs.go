package audit

import (
	"strings"
	"time"

	"robinstack/internal/logline"
)

// jobRecord is a job as the log describes it.
type jobRecord struct {
	id, class, team string
	tasks           int
	gpus            float64 // of each task
	acceptedAt      time.Time
	deadline        time.Time // zero: none
	dependencies    int       // number of jobs that it depends on

	// Times of the job's events; zero: not logged.
	dependenciesSatisfiedAt time.Time
	startedAt               time.Time
	completedAt             time.Time
	cancelledAt             time.Time // by its user or by a dependency

	// Totals of the task runs that completed.
	completedTasks int
	workGPUS       float64 // GPU seconds
	longestRun     time.Duration
	lastCompletion time.Time
}

// eligibleAt returns when the job could start: at its acceptance, or when its dependencies were
// satisfied. ok is false if it still waits for dependencies.
func (j *jobRecord) eligibleAt() (at time.Time, ok bool) {
	if j.dependencies == 0 {
		return j.acceptedAt, true
	}
	return j.dependenciesSatisfiedAt, !j.dependenciesSatisfiedAt.IsZero()
}

// recordAcceptance adds a job that was accepted.
func (l *Log) recordAcceptance(at time.Time, fields map[string]string) error {
	if _, ok := fields["deadline_s"]; !ok {
		return nil // line of a version that did not log deadlines
	}
	r := &numberReader{fields: fields}
	j := &jobRecord{
		id: fields["job"], class: fields["class"], team: fields["team"],
		tasks: int(r.number("tasks")), gpus: r.number("gpus"), acceptedAt: at,
	}
	if deadline := r.seconds("deadline_s"); deadline > 0 {
		j.deadline = at.Add(deadline)
	}
	if _, ok := fields["dependencies"]; ok { // absent in lines of versions without dependencies
		j.dependencies = int(r.number("dependencies"))
	}
	if r.err != nil {
		return r.err
	}
	l.jobs[j.id] = j
	return nil
}

// recordJobEvent records the time of an event of a known job.
func (l *Log) recordJobEvent(at time.Time, message string, fields map[string]string) {
	id := fields["job"]
	if id == "" {
		id = jobIDOf(fields["task"])
	}
	j := l.jobs[id]
	if j == nil {
		return
	}
	switch message {
	case logline.TaskCommitted:
		setEarliest(&j.startedAt, at)
	case logline.JobCompleted:
		setEarliest(&j.completedAt, at)
	case logline.JobCancelled, logline.JobCancelledByDependency:
		setEarliest(&j.cancelledAt, at)
	case logline.JobDependenciesSatisfied:
		setEarliest(&j.dependenciesSatisfiedAt, at)
	}
}

// addRun records an ended attempt. Its start counts as a start of the job, because no commit is
// logged if the response to the commit arrives late.
func (j *jobRecord) addRun(run *taskRun, cause string) {
	setEarliest(&j.startedAt, run.start())
	if cause != causeDone {
		return
	}
	j.completedTasks++
	j.workGPUS += run.resources.GPUs * run.durations[running].Seconds()
	j.longestRun = max(j.longestRun, run.durations[running])
	if run.end.After(j.lastCompletion) {
		j.lastCompletion = run.end
	}
}

// jobIDOf returns the ID of the job to which a task ID belongs.
func jobIDOf(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}
