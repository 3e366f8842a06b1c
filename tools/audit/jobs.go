package audit

import (
	"strings"
	"time"

	"robinstack/internal/logline"
)

// jobRecord is a job, as its acceptance and its course were logged.
type jobRecord struct {
	id, class, team string
	tasks           int
	gpus            float64 // of each task
	acceptedAt      time.Time
	deadline        time.Time // zero: none
	dependencies    int       // jobs that it names

	// When it went on; zero: it did not.
	dependenciesSatisfiedAt time.Time
	startedAt               time.Time
	completedAt             time.Time
	cancelledAt             time.Time // by its user, or with one that it depends on

	// Its runs that completed.
	completedTasks int
	workGPUS       float64 // GPU seconds
	longestRun     time.Duration
	lastCompletion time.Time
}

// eligibleAt is when the job could start: at once, or when the jobs that it depends on were
// done; ok is false for one that waits for them still.
func (j *jobRecord) eligibleAt() (at time.Time, ok bool) {
	if j.dependencies == 0 {
		return j.acceptedAt, true
	}
	return j.dependenciesSatisfiedAt, !j.dependenciesSatisfiedAt.IsZero()
}

// recordAcceptance takes a job from the line of its acceptance.
func (l *Log) recordAcceptance(at time.Time, fields map[string]string) error {
	if _, ok := fields["deadline_s"]; !ok {
		return nil // written before deadlines were logged
	}
	r := &numberReader{fields: fields}
	j := &jobRecord{
		id: fields["job"], class: fields["class"], team: fields["team"],
		tasks: int(r.number("tasks")), gpus: r.number("gpus"), acceptedAt: at,
	}
	if deadline := r.seconds("deadline_s"); deadline > 0 {
		j.deadline = at.Add(deadline)
	}
	if _, ok := fields["dependencies"]; ok { // logged since there are dependencies
		j.dependencies = int(r.number("dependencies"))
	}
	if r.err != nil {
		return r.err
	}
	l.jobs[j.id] = j
	return nil
}

// recordJobEvent takes what a line says of a job's course.
func (l *Log) recordJobEvent(at time.Time, message string, fields map[string]string) {
	id := fields["job"]
	if id == "" {
		id = jobOf(fields["task"])
	}
	j := l.jobs[id]
	if j == nil {
		return
	}
	switch message {
	case logline.TaskCommitted:
		keepEarlier(&j.startedAt, at)
	case logline.JobCompleted:
		keepEarlier(&j.completedAt, at)
	case logline.JobCancelled, logline.JobWithdrawn:
		keepEarlier(&j.cancelledAt, at)
	case logline.JobReady:
		keepEarlier(&j.dependenciesSatisfiedAt, at)
	}
}

// addRun books an attempt at a task that has ended, and that it was started: of a commit
// that its owner answered too late there is no line of its own.
func (j *jobRecord) addRun(run *taskRun, cause string) {
	keepEarlier(&j.startedAt, run.start())
	if cause != causeDone {
		return
	}
	j.completedTasks++
	j.workGPUS += run.need.GPUs * run.spent[running].Seconds()
	j.longestRun = max(j.longestRun, run.spent[running])
	if run.end.After(j.lastCompletion) {
		j.lastCompletion = run.end
	}
}

// jobOf is the job of a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}
