package gateway

import (
	"sync"
	"time"
)

const (
	// maxQueriesInFlight bounds the queries that are handled at the same time. It is large because
	// queries are cheap: all that wait for the state service share one request.
	maxQueriesInFlight = 400
	// overdueAfter is the time after its first unanswered query at which a job may use reserved
	// capacity.
	overdueAfter = 9 * time.Second
	// maxOverdueInFlight bounds the queries in reserved capacity. Each takes less than 0.5 s, so
	// 200 at a time serve about 30,000 jobs in 75 s.
	maxOverdueInFlight = 200
	// maxTrackedJobs bounds the number of jobs without an answer that are tracked, and trackingTTL
	// how long each is tracked.
	maxTrackedJobs = 30_000
	trackingTTL    = 2 * time.Minute
	// minSweepInterval is the minimum time between two sweeps over all tracked jobs.
	minSweepInterval = 5 * time.Second
)

// admissionQueue decides which queries are handled under overload. Rejecting queries at random
// would leave some of thousands of jobs without any answer for as long as the overload lasts, and a
// job without an answer for 75 s counts as lost. Capacity is therefore reserved for jobs whose
// queries this controller has not answered for a while.
//
// Each job is admitted within 55 s: users query every 5 s and reach any of up to five controllers
// each time. Of eleven consecutive queries, one controller gets at least three, and the last of
// these arrives 10 s or more after the first, when the job is overdue there.
//
// The zero value is ready for use.
type admissionQueue struct {
	mu              sync.Mutex           // guards the fields below
	unansweredSince map[string]time.Time // time of the first unanswered query, by job
	lastSweep       time.Time            // time of the last sweep
	inFlight        int
	overdueInFlight int
}

// admittedQuery is a query that was admitted and must be passed to release once it has been
// handled.
type admittedQuery struct {
	jobID   string
	overdue bool // uses reserved capacity
}

// admit admits or rejects a query. The job of a rejected query is tracked until one of its queries
// is answered.
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

// release frees the capacity of an admitted query. answered reports whether the user got an answer.
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

// trackUnanswered records that a query for a job got no answer. The caller must hold q.mu.
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

// sweep drops the jobs that were tracked for longer than trackingTTL: a job that is still queried
// would have been answered by then. The caller must hold q.mu.
func (q *admissionQueue) sweep(now time.Time) {
	if now.Sub(q.lastSweep) < minSweepInterval {
		return
	}
	q.lastSweep = now
	for jobID, since := range q.unansweredSince {
		if now.Sub(since) > trackingTTL {
			delete(q.unansweredSince, jobID)
		}
	}
}
