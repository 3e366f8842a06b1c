package machine

import (
	"log/slog"
	"time"

	"robinstack/internal/agentapi"
)

const (
	// suspectedFor is how long a machine on which two jobs failed gets no others while the
	// failures are not attributed: a faulty machine is always free and would fail one job
	// after the other.
	suspectedFor = 20 * time.Second
	// suspectedFailures are the jobs that must have failed for that.
	suspectedFailures = 2
	// avoidFor is how long a job is kept from a machine on which it failed. Where there are
	// few machines it has to be tried there again.
	avoidFor = 40 * time.Second
	// recentSuccess is how lately a task must have completed for one attributed failure not
	// to be enough for quarantine.
	recentSuccess = time.Minute
)

// Quarantine is what the failures of tasks say about their machine.
type Quarantine struct {
	// Active: jobs that run well elsewhere failed here, and no task has completed since.
	Active bool

	unattributed map[string]time.Time // jobs that failed here, until it is known whose fault it was
	attributed   map[string]bool      // jobs that run well elsewhere
	lastSuccess  time.Time            // when a task completed here last
}

func newQuarantine() Quarantine {
	return Quarantine{unattributed: map[string]time.Time{}, attributed: map[string]bool{}}
}

func (q *Quarantine) restore(active bool, attributed []string) {
	q.Active = active
	for _, id := range attributed {
		q.attributed[id] = true
	}
}

func (q *Quarantine) noteFailure(jobID string, now time.Time) { q.unattributed[jobID] = now }

// noteSuccess lifts the quarantine: the machine can run tasks.
func (q *Quarantine) noteSuccess(now time.Time) {
	q.lastSuccess = now
	clear(q.unattributed)
	clear(q.attributed)
	q.Active = false
}

// Suspected reports whether the machine may be faulty.
func (q *Quarantine) Suspected(now time.Time) bool {
	n := 0
	for _, at := range q.unattributed {
		if now.Sub(at) < suspectedFor {
			n++
		}
	}
	return n >= suspectedFailures
}

// FailedLately reports whether a job failed here so lately that it is kept away.
func (q *Quarantine) FailedLately(jobID string, now time.Time) bool {
	at, failed := q.unattributed[jobID]
	return failed && now.Sub(at) < avoidFor
}

// AttributedJobs lists the jobs whose failures are the machine's fault.
func (q *Quarantine) AttributedJobs() []string {
	var ids []string
	for id := range q.attributed {
		ids = append(ids, id)
	}
	return ids
}

// UnattributedJobs lists the jobs of which it is not known yet whose fault it was.
func (q *Quarantine) UnattributedJobs() []string {
	var ids []string
	for id := range q.unattributed {
		ids = append(ids, id)
	}
	return ids
}

// attribute takes in whose fault a failure was. Where tasks completed lately, one failure of a
// job that is well is not enough to call the machine faulty.
func (q *Quarantine) attribute(jobID string, atFault bool, now time.Time) {
	if !atFault {
		delete(q.unattributed, jobID)
		return
	}
	q.attributed[jobID] = true
	q.Active = len(q.attributed) >= suspectedFailures || q.lastSuccess.IsZero() ||
		now.Sub(q.lastSuccess) > recentSuccess
}

// AttributeFailure takes in whether a failure was the machine's or the job's fault.
func (m *Machine) AttributeFailure(a *agentapi.Attribution, now time.Time) {
	m.Quarantine.attribute(a.Job, a.AtFault, now)
	if a.AtFault && m.Quarantine.Active {
		slog.Info("machine quarantined", "machine", m.Name,
			"jobs_succeeding_elsewhere", len(m.Quarantine.attributed))
	}
}
