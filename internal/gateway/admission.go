package gateway

import (
	"sync"
	"time"
)

const (
	// maxQueriesInFlight bounds the queries that are answered at the same time; those that wait
	// for the state service share one request, so many are cheap.
	maxQueriesInFlight = 400
	// overdueAfter is how long after a query without an answer a job has reserved capacity.
	overdueAfter = 9 * time.Second
	// maxOverdueInFlight bounds the queries in reserved capacity. Each takes under half a second,
	// so it serves some 30,000 jobs in 75 s.
	maxOverdueInFlight = 200
	// maxTrackedJobs bounds the jobs without an answer that are tracked, and trackedFor how long
	// they are.
	maxTrackedJobs = 30_000
	trackedFor     = 2 * time.Minute
	// minSweepInterval is the least time between two passes over all of them.
	minSweepInterval = 5 * time.Second
)

// admissionQueue decides which queries are answered when more come than can be. Rejecting the
// surplus at random would, of thousands of jobs, leave some without any answer for as long as it
// lasts, and one without an answer for 75 s counts as forgotten. So capacity is reserved for jobs
// whose queries have gone without an answer here for a while.
//
// The bound: users ask every 5 s, each time any of up to five controllers. Of eleven queries in a
// row one controller gets three, and the last of them comes 10 s or more after the first, so that
// it is overdue: it is admitted within 55 s.
//
// The zero value is ready for use.
type admissionQueue struct {
	mu              sync.Mutex           // guards the fields below
	unansweredSince map[string]time.Time // by job
	lastSweep       time.Time            // when jobs that nobody asks about were last dropped
	inFlight        int
	overdueInFlight int
}

// admittedQuery is a query that was admitted and is to be released.
type admittedQuery struct {
	jobID   string
	overdue bool // it holds reserved capacity
}

// admit admits a query, or rejects it: then its job is tracked until it has an answer.
func (q *admissionQueue) admit(jobID string, now time.Time) (admittedQuery, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inFlight < maxQueriesInFlight {
		q.inFlight++
		return admittedQuery{jobID: jobID}, true
	}
	since, tracked := q.unansweredSince[jobID]
	if tracked && now.Sub(since) >= overdueAfter && q.overdueInFlight < maxOverdueInFlight {
		q.overdueInFlight++
		return admittedQuery{jobID: jobID, overdue: true}, true
	}
	q.trackUnanswered(jobID, now)
	return admittedQuery{}, false
}

// release ends an admitted query, which was answered or not.
func (q *admissionQueue) release(query admittedQuery, answered bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if query.overdue {
		q.overdueInFlight--
	} else {
		q.inFlight--
	}
	if answered {
		delete(q.unansweredSince, query.jobID)
	} else {
		q.trackUnanswered(query.jobID, now)
	}
}

// trackUnanswered notes that a query has had no answer. The caller holds mu.
func (q *admissionQueue) trackUnanswered(jobID string, now time.Time) {
	if _, tracked := q.unansweredSince[jobID]; tracked {
		return
	}
	if q.unansweredSince == nil {
		q.unansweredSince = map[string]time.Time{}
	}
	if len(q.unansweredSince) >= maxTrackedJobs {
		q.sweep(now)
	}
	if len(q.unansweredSince) < maxTrackedJobs {
		q.unansweredSince[jobID] = now
	}
}

// sweep drops the jobs that nobody asks about any more. The caller holds mu.
func (q *admissionQueue) sweep(now time.Time) {
	if now.Sub(q.lastSweep) < minSweepInterval {
		return
	}
	q.lastSweep = now
	for jobID, since := range q.unansweredSince {
		if now.Sub(since) > trackedFor {
			delete(q.unansweredSince, jobID)
		}
	}
}
