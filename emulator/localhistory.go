package emulator

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// localHistory records what happens on the machines of a LocalCloud and checks the rules that can
// be observed there: a task is on one machine at a time and starts only after its dependencies have
// completed. mu guards all fields; no other lock is taken while it is held.
type localHistory struct {
	mu               sync.Mutex
	completed        map[string]bool                  // by task id
	placements       map[string]*localTask            // attempts on machines, by task id
	gangs            map[string]map[string]*localTask // attempts on machines, by job attempt and task id
	dependencyLookup func(task string) []string       // nil: dependencies are not checked
	started          map[string]bool                  // tasks that have been on a machine, by id
	starts           int
	restartCount     int // starts of tasks that had started before
	lastStart        time.Time
	longestStartGap  time.Duration // between two consecutive starts
	violations       []string
}

func newLocalHistory() *localHistory {
	return &localHistory{
		completed:  map[string]bool{},
		placements: map[string]*localTask{},
		gangs:      map[string]map[string]*localTask{},
		started:    map[string]bool{},
	}
}

func (h *localHistory) listViolations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.violations)
}

func (h *localHistory) taskStarts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

func (h *localHistory) restartStats() (restarts int, longestGap time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.restartCount, h.longestStartGap
}

func (h *localHistory) setDependencyLookup(dependencies func(task string) []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dependencyLookup = dependencies
}

func (h *localHistory) taskCompleted(task string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.completed[task]
}

// dependenciesOf returns the tasks that must complete before the given one starts. h.mu must not be
// held, because the lookup function takes a lock of its own.
func (h *localHistory) dependenciesOf(task string) []string {
	h.mu.Lock()
	dependencies := h.dependencyLookup
	h.mu.Unlock()
	if dependencies == nil {
		return nil
	}
	return dependencies(task)
}

// recordStart records that an attempt is now on a machine, and checks the rules.
func (h *localHistory) recordStart(t *localTask) {
	dependencies := h.dependenciesOf(t.id)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	for _, dependency := range dependencies {
		if !h.completed[dependency] {
			h.violations = append(h.violations, fmt.Sprintf(
				"too_early: %s starts before its dependency %s has completed", t.id, dependency))
			break
		}
	}
	if h.started[t.id] {
		h.restartCount++
	}
	h.started[t.id] = true
	now := time.Now()
	if !h.lastStart.IsZero() {
		h.longestStartGap = max(h.longestStartGap, now.Sub(h.lastStart))
	}
	h.lastStart = now
	if other := h.placements[t.id]; other != nil {
		h.violations = append(h.violations, fmt.Sprintf(
			"ran_twice: %s starts on %s while it is on %s", t.id, t.machine.name, other.machine.name))
	}
	h.placements[t.id] = t
	gang := t.jobAttemptKey()
	if h.gangs[gang] == nil {
		h.gangs[gang] = map[string]*localTask{}
	}
	h.gangs[gang][t.id] = t
}

// recordRemoval records that an attempt is no longer on its machine.
func (h *localHistory) recordRemoval(t *localTask, completed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.placements[t.id] == t {
		delete(h.placements, t.id)
	}
	gang := t.jobAttemptKey()
	if h.gangs[gang][t.id] == t {
		delete(h.gangs[gang], t.id)
	}
	if len(h.gangs[gang]) == 0 {
		delete(h.gangs, gang)
	}
	if completed {
		h.completed[t.id] = true
	}
}

// gangIsComplete reports whether all tasks of the job attempt that t belongs to are on machines.
func (h *localHistory) gangIsComplete(t *localTask) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.gangs[t.jobAttemptKey()]) == t.spec.Tasks
}
