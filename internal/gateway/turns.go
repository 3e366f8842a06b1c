package gateway

import (
	"sync"
	"time"
)

// turns decides which questions are answered when more come than can be. Refusing the
// surplus at random would, of thousands of jobs, leave some without any answer for as
// long as it lasts, and one without an answer for 75 s counts as forgotten. So a job
// whose questions have gone without an answer here for a while has a place of its own.
//
// The bound: users ask every 5 s, each time any of up to five controllers. Of eleven
// questions in a row one controller gets three, and the last of them comes 10 s or more
// after the first, so that it is overdue: it is let in within 55 s.
type turns struct {
	mu    sync.Mutex
	owed  map[string]time.Time // since when questions about a job have had no answer
	swept time.Time            // when those that nobody asks about were last dropped
	busy  int
	late  int
}

const (
	// overdue is how long after a question without an answer a job has a place.
	overdue = 9 * time.Second
	// mostLate bounds the questions in such places. Each takes under half a second, so
	// they serve some 30,000 jobs in 75 s.
	mostLate = 200
	// mostOwed bounds the jobs that are kept in mind, and owedFor how long.
	mostOwed = 30_000
	owedFor  = 2 * time.Minute
	// sweepOwed is the least time between two looks through all of them.
	sweepOwed = 5 * time.Second
)

// turn is a question that was let in.
type turn struct {
	id   string
	late bool
}

// enter lets a question in, or refuses it.
func (t *turns) enter(id string, now time.Time) (turn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy < mostAsking {
		t.busy++
		return turn{id, false}, true
	}
	if since, ok := t.owed[id]; ok && now.Sub(since) >= overdue && t.late < mostLate {
		t.late++
		return turn{id, true}, true
	}
	t.owe(id, now)
	return turn{}, false
}

// leave ends a question, which was answered or not.
func (t *turns) leave(q turn, answered bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.late {
		t.late--
	} else {
		t.busy--
	}
	if answered {
		delete(t.owed, q.id)
	} else {
		t.owe(q.id, now)
	}
}

func (t *turns) owe(id string, now time.Time) {
	if _, ok := t.owed[id]; ok {
		return
	}
	if t.owed == nil {
		t.owed = map[string]time.Time{}
	}
	if len(t.owed) >= mostOwed && now.Sub(t.swept) >= sweepOwed {
		t.swept = now
		for old, since := range t.owed {
			if now.Sub(since) > owedFor {
				delete(t.owed, old)
			}
		}
	}
	if len(t.owed) < mostOwed {
		t.owed[id] = now
	}
}
