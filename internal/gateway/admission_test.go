package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A job that is queried every 5 s must be admitted within 55 s, whichever controllers its queries
// reach, although the regular capacity is taken all the time and most queries are rejected.
// Rejecting queries at random left some of thousands of jobs without any answer for over a minute.
func TestAdmissionIsStarvationFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controllers := make([]admissionQueue, rapid.IntRange(1, 5).Draw(t, "controllers"))
		began := time.Unix(0, 0)
		now := began
		for k := range controllers {
			controllers[k].inFlight = maxQueriesInFlight // stays full during the test
		}
		for rejected := range 40 {
			controller := &controllers[rapid.IntRange(0, len(controllers)-1).Draw(t, "asked")]
			query, ok := controller.admit("wk-1", now)
			if ok {
				controller.release(query, true, now)
				return
			}
			if rejected >= 11 {
				t.Fatalf("got %d rejections in a row within %v, want at most 11", rejected+1, now.Sub(began))
			}
			now = now.Add(5 * time.Second)
		}
	})
}

// Both the capacity for overdue queries and the number of tracked jobs are bounded. A job is no
// longer tracked once it was answered, or when its tracking period ends.
func TestAdmissionQueueIsBounded(t *testing.T) {
	queue := admissionQueue{inFlight: maxQueriesInFlight}
	now := time.Unix(0, 0)
	for k := range 2 * maxTrackedJobs {
		queue.admit(fmt.Sprintf("wk-%d", k), now)
	}
	if len(queue.unansweredSince) != maxTrackedJobs {
		t.Fatalf("got %d tracked jobs, want %d", len(queue.unansweredSince), maxTrackedJobs)
	}
	now = now.Add(20 * time.Second)
	admitted := 0
	for k := range 1000 {
		if _, ok := queue.admit(fmt.Sprintf("wk-%d", k), now); ok {
			admitted++
		}
	}
	if admitted != maxOverdueInFlight {
		t.Errorf("got %d overdue queries admitted, want %d", admitted, maxOverdueInFlight)
	}
	overdue := admittedQuery{jobID: "wk-1", overdue: true}
	queue.release(overdue, false, now) // not answered, so the job stays overdue
	if _, ok := queue.admit("wk-1", now); !ok {
		t.Error("query of an overdue job was rejected, want admitted")
	}
	queue.release(overdue, true, now)
	if _, ok := queue.admit("wk-1", now); ok {
		t.Error("query of a job that was just answered was admitted, want rejected")
	}
	now = now.Add(2 * trackingTTL)
	queue.admit("wk-new", now)
	if len(queue.unansweredSince) != 1 {
		t.Errorf("got %d tracked jobs after the tracking period, want 1", len(queue.unansweredSince))
	}
}

// 3,000 jobs send 600 queries a second at random times against a regular capacity of 100: no job is
// left without an answer for more than 75 s.
func TestAdmissionUnderQueryFlood(t *testing.T) {
	const (
		jobs               = 3000
		seconds            = 300
		capacity           = 100 // queries in regular capacity at a time
		maxUnansweredS     = 75
		meanQueryIntervalS = 5
	)
	rng := rand.New(rand.NewPCG(1, 2))
	queue := admissionQueue{inFlight: maxQueriesInFlight - capacity}
	lastAdmitted := make([]int, jobs)
	for second := range seconds {
		now := time.Unix(int64(second), 0)
		var admitted []admittedQuery
		for k := range jobs {
			if rng.IntN(meanQueryIntervalS) > 0 {
				continue
			}
			query, ok := queue.admit(fmt.Sprintf("wk-%d", k), now)
			if ok {
				admitted = append(admitted, query)
				lastAdmitted[k] = second
			} else if second-lastAdmitted[k] > maxUnansweredS {
				t.Fatalf("wk-%d got no answer for %d s, want at most %d s", k, second-lastAdmitted[k], maxUnansweredS)
			}
		}
		for _, query := range admitted {
			queue.release(query, true, now)
		}
	}
}
