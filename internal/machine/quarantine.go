package machine

import (
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
)

const (
	// suspicionDuration is how long a failure on a machine counts towards suspicion. A suspected
	// machine gets no tasks: a faulty machine always has free capacity and would make one job after
	// another fail before the failures are attributed.
	suspicionDuration = 20 * time.Second
	// minFailedJobs is the number of failed jobs that makes a machine suspected or, if the failures
	// are attributed to the machine, quarantined.
	minFailedJobs = 2
	// avoidanceDuration is how long a job avoids a machine on which it failed. In a cluster with
	// few machines, the job must be tried there again afterwards.
	avoidanceDuration = 40 * time.Second
	// recentSuccessWindow is the time after a completed task in which a single failure attributed
	// to the machine does not quarantine it.
	recentSuccessWindow = time.Minute
)

// Quarantine tracks task failures and their attribution to the machine or to the jobs.
type Quarantine struct {
	// Active reports whether the machine is quarantined: jobs that succeed elsewhere failed here,
	// and no task has completed here since.
	Active bool

	failures    map[string]time.Time // latest failure here of each job that is not known to be at fault
	attributed  map[string]bool      // jobs whose failures here are attributed to the machine
	lastSuccess time.Time            // when a task last completed here
}

func newQuarantine() Quarantine {
	return Quarantine{failures: map[string]time.Time{}, attributed: map[string]bool{}}
}

func (q *Quarantine) restore(active bool, attributed []string) {
	q.Active = active
	for _, id := range attributed {
		q.attributed[id] = true
	}
}

func (q *Quarantine) recordFailure(jobID string, now time.Time) { q.failures[jobID] = now }

// recordSuccess clears all failures and ends the quarantine, because the machine can run tasks.
func (q *Quarantine) recordSuccess(now time.Time) {
	q.lastSuccess = now
	clear(q.failures)
	clear(q.attributed)
	q.Active = false
}

// Suspected reports whether enough jobs failed here recently to exclude the machine until the
// failures are attributed.
func (q *Quarantine) Suspected(now time.Time) bool {
	failedJobs := 0
	for _, at := range q.failures {
		if now.Sub(at) < suspicionDuration {
			failedJobs++
		}
	}
	return failedJobs >= minFailedJobs
}

// FailedRecently reports whether a job failed here so recently that it avoids the machine.
func (q *Quarantine) FailedRecently(jobID string, now time.Time) bool {
	at, failed := q.failures[jobID]
	return failed && now.Sub(at) < avoidanceDuration
}

// AttributedJobs returns the jobs whose failures are attributed to the machine.
func (q *Quarantine) AttributedJobs() []string {
	var ids []string
	for id := range q.attributed {
		ids = append(ids, id)
	}
	return ids
}

// FailedJobs returns the jobs that failed here, except those found to be at fault themselves.
func (q *Quarantine) FailedJobs() []string {
	var ids []string
	for id := range q.failures {
		ids = append(ids, id)
	}
	return ids
}

// attribute records whether the machine or the job is at fault for a failure. If a task completed
// here recently, one failure attributed to the machine is not enough to quarantine it.
func (q *Quarantine) attribute(jobID string, atFault bool, now time.Time) {
	if !atFault {
		delete(q.failures, jobID)
		return
	}
	q.attributed[jobID] = true
	q.Active = len(q.attributed) >= minFailedJobs || q.lastSuccess.IsZero() ||
		now.Sub(q.lastSuccess) > recentSuccessWindow
}

// AttributeFailure records whether the machine or the job is at fault for a failure.
func (m *Machine) AttributeFailure(a *agentapi.Attribution, now time.Time) {
	m.Quarantine.attribute(a.Job, a.AtFault, now)
	if a.AtFault && m.Quarantine.Active {
		slog.Info("machine quarantined", "machine", m.Name,
			"jobs_succeeding_elsewhere", len(m.Quarantine.attributed))
	}
}
