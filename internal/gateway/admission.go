package gateway

import (
	"sync"
	"time"
)

// admissionQueue decides which questions are answered when more come than can be. Refusing the
// surplus at random would, of thousands of jobs, leave some without any answer for as
// long as it lasts, and one without an answer for 75 s counts as forgotten. So a job
// whose questions have gone without an answer here for a while has a place of its own.
//
// The bound: users ask every 5 s, each time any of up to five controllers. Of eleven
// questions in a row one controller gets three, and the last of them comes 10 s or more
// after the first, so that it is overdue: it is let in within 55 s.
type admissionQueue struct {
	mu              sync.Mutex
	unansweredSince map[string]time.Time // since when questions about a job have had no answer
	lastSweep       time.Time            // when those that nobody asks about were last dropped
	inFlight        int
	overdueInFlight int
}

const (
	// overdueAfter is how long after a question without an answer a job has a place.
	overdueAfter = 9 * time.Second
	// maxOverdueInFlight bounds the questions in such places. Each takes under half a second, so
	// they serve some 30,000 jobs in 75 s.
	maxOverdueInFlight = 200
	// maxTrackedJobs bounds the jobs that are kept in mind, and trackedFor how long.
	maxTrackedJobs = 30_000
	trackedFor     = 2 * time.Minute
	// minSweepInterval is the least time between two looks through all of them.
	minSweepInterval = 5 * time.Second
)

// admittedQuery is a question that was let in.
type admittedQuery struct {
	jobID   string
	overdue bool
}

// admit lets a question in, or refuses it.
func (t *admissionQueue) admit(id string, now time.Time) (admittedQuery, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight < maxQueriesInFlight {
		t.inFlight++
		return admittedQuery{id, false}, true
	}
	if since, ok := t.unansweredSince[id]; ok && now.Sub(since) >= overdueAfter && t.overdueInFlight < maxOverdueInFlight {
		t.overdueInFlight++
		return admittedQuery{id, true}, true
	}
	t.noteUnanswered(id, now)
	return admittedQuery{}, false
}

// release ends a question, which was answered or not.
func (t *admissionQueue) release(q admittedQuery, answered bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.overdue {
		t.overdueInFlight--
	} else {
		t.inFlight--
	}
	if answered {
		delete(t.unansweredSince, q.jobID)
	} else {
		t.noteUnanswered(q.jobID, now)
	}
}

func (t *admissionQueue) noteUnanswered(id string, now time.Time) {
	if _, ok := t.unansweredSince[id]; ok {
		return
	}
	if t.unansweredSince == nil {
		t.unansweredSince = map[string]time.Time{}
	}
	if len(t.unansweredSince) >= maxTrackedJobs && now.Sub(t.lastSweep) >= minSweepInterval {
		t.lastSweep = now
		for old, since := range t.unansweredSince {
			if now.Sub(since) > trackedFor {
				delete(t.unansweredSince, old)
			}
		}
	}
	if len(t.unansweredSince) < maxTrackedJobs {
		t.unansweredSince[id] = now
	}
}
