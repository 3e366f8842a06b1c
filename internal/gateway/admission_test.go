package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However many questions come, and whichever of the controllers its user asks, a job
// that is asked about every 5 s is let in within 55 s, though most are refused and those
// places are taken by others all the time. Guards against a refusal at random, which of
// some thousand jobs leaves some without any answer for over a minute.
func TestAdmissionIsStarvationFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]admissionQueue, rapid.IntRange(1, 5).Draw(t, "controllers"))
		now := time.Unix(0, 0)
		for k := range nodes {
			nodes[k].inFlight = maxQueriesInFlight // all the time
		}
		for q := range 40 {
			k := rapid.IntRange(0, len(nodes)-1).Draw(t, "asked")
			turn, ok := nodes[k].admit("wk-1", now)
			if ok {
				nodes[k].release(turn, true, now)
				return
			}
			if q >= 11 {
				t.Fatalf("refused %d times in a row, for %v", q+1, now.Sub(time.Unix(0, 0)))
			}
			now = now.Add(5 * time.Second)
		}
	})
}

// The places for overdue questions are bounded; so is what is kept in mind, and it is
// forgotten once it was answered or nobody asks any more.
func TestAdmissionQueueIsBounded(t *testing.T) {
	var ts admissionQueue
	ts.inFlight = maxQueriesInFlight
	now := time.Unix(0, 0)
	for k := range 2 * maxTrackedJobs {
		ts.admit(fmt.Sprintf("wk-%d", k), now)
	}
	if len(ts.unansweredSince) != maxTrackedJobs {
		t.Fatal(len(ts.unansweredSince))
	}
	now = now.Add(20 * time.Second)
	let := 0
	for k := range 1000 {
		if _, ok := ts.admit(fmt.Sprintf("wk-%d", k), now); ok {
			let++
		}
	}
	if let != maxOverdueInFlight {
		t.Errorf("%d were let in", let)
	}
	ts.release(admittedQuery{"wk-1", true}, false, now) // without an answer: it is owed one still
	if _, ok := ts.admit("wk-1", now); !ok {
		t.Error("refused although it is overdue")
	}
	ts.release(admittedQuery{"wk-1", true}, true, now)
	if _, ok := ts.admit("wk-1", now); ok {
		t.Error("it was answered just now")
	}
	now = now.Add(2 * trackedFor)
	ts.admit("wk-new", now)
	if len(ts.unansweredSince) != 1 {
		t.Errorf("%d are kept in mind", len(ts.unansweredSince))
	}
}

// Thousands of jobs ask under five times as many questions as are served, with drawn
// durations: none is without an answer for 75 s.
func TestAdmissionUnderQueryFlood(t *testing.T) {
	const jobs, seconds, fit = 3000, 300, 100 // questions that are served at a time
	rng := rand.New(rand.NewPCG(1, 2))
	var ts admissionQueue
	ts.inFlight = maxQueriesInFlight - fit
	last := make([]int, jobs)
	for now := range seconds {
		var in []admittedQuery
		for k := range jobs {
			if rng.IntN(5) > 0 {
				continue // each asks every 5 s
			}
			if q, ok := ts.admit(fmt.Sprintf("wk-%d", k), time.Unix(int64(now), 0)); ok {
				in = append(in, q)
				last[k] = now
			} else if now-last[k] > 75 {
				t.Fatalf("wk-%d was without an answer for %d s", k, now-last[k])
			}
		}
		for _, q := range in {
			ts.release(q, true, time.Unix(int64(now), 0))
		}
	}
}
