package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However many queries come, and whichever of the controllers its user asks, a job that is asked
// about every 5 s is admitted within 55 s, though most are rejected and the capacity is taken by
// others all the time. Guards against a rejection at random, which of some thousand jobs leaves
// some without any answer for over a minute.
func TestAdmissionIsStarvationFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controllers := make([]admissionQueue, rapid.IntRange(1, 5).Draw(t, "controllers"))
		began := time.Unix(0, 0)
		now := began
		for k := range controllers {
			controllers[k].inFlight = maxQueriesInFlight // all the time
		}
		for rejected := range 40 {
			controller := &controllers[rapid.IntRange(0, len(controllers)-1).Draw(t, "asked")]
			query, ok := controller.admit("wk-1", now)
			if ok {
				controller.release(query, true, now)
				return
			}
			if rejected >= 11 {
				t.Fatalf("rejected %d times in a row, for %v", rejected+1, now.Sub(began))
			}
			now = now.Add(5 * time.Second)
		}
	})
}

// The capacity for overdue queries is bounded; so are the jobs that are tracked, and one is dropped
// once it was answered or nobody asks any more.
func TestAdmissionQueueIsBounded(t *testing.T) {
	queue := admissionQueue{inFlight: maxQueriesInFlight}
	now := time.Unix(0, 0)
	for k := range 2 * maxTrackedJobs {
		queue.admit(fmt.Sprintf("wk-%d", k), now)
	}
	if len(queue.unansweredSince) != maxTrackedJobs {
		t.Fatal(len(queue.unansweredSince))
	}
	now = now.Add(20 * time.Second)
	admitted := 0
	for k := range 1000 {
		if _, ok := queue.admit(fmt.Sprintf("wk-%d", k), now); ok {
			admitted++
		}
	}
	if admitted != maxOverdueInFlight {
		t.Errorf("%d were admitted", admitted)
	}
	overdue := admittedQuery{jobID: "wk-1", overdue: true}
	queue.release(overdue, false, now) // without an answer: it is overdue still
	if _, ok := queue.admit("wk-1", now); !ok {
		t.Error("rejected although it is overdue")
	}
	queue.release(overdue, true, now)
	if _, ok := queue.admit("wk-1", now); ok {
		t.Error("it was answered just now")
	}
	now = now.Add(2 * trackedFor)
	queue.admit("wk-new", now)
	if len(queue.unansweredSince) != 1 {
		t.Errorf("%d are tracked", len(queue.unansweredSince))
	}
}

// Thousands of jobs send five times as many queries as are answered, at random times: none is
// without an answer for 75 s.
func TestAdmissionUnderQueryFlood(t *testing.T) {
	const (
		jobs             = 3000
		seconds          = 300
		capacity         = 100 // queries that are answered at a time
		forgottenAfterS  = 75
		queryEveryNthSec = 5
	)
	rng := rand.New(rand.NewPCG(1, 2))
	queue := admissionQueue{inFlight: maxQueriesInFlight - capacity}
	lastAdmitted := make([]int, jobs)
	for second := range seconds {
		now := time.Unix(int64(second), 0)
		var admitted []admittedQuery
		for k := range jobs {
			if rng.IntN(queryEveryNthSec) > 0 {
				continue
			}
			query, ok := queue.admit(fmt.Sprintf("wk-%d", k), now)
			if ok {
				admitted = append(admitted, query)
				lastAdmitted[k] = second
			} else if second-lastAdmitted[k] > forgottenAfterS {
				t.Fatalf("wk-%d was without an answer for %d s", k, second-lastAdmitted[k])
			}
		}
		for _, query := range admitted {
			queue.release(query, true, now)
		}
	}
}
