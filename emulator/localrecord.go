package emulator

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// localRecord is what happened on the machines of a local cloud, held against the rules
// that can be seen there: a task is on one machine at a time, and starts after those that
// it depends on have completed. Its mutex guards all of it, and is a leaf.
type localRecord struct {
	mu           sync.Mutex
	completed    map[string]bool                  // tasks
	placed       map[string]*localTask            // where a task is, by its id
	gangs        map[string]map[string]*localTask // tasks on machines, by the job's attempt
	dependencies func(task string) []string       // nil: not checked
	started      map[string]bool                  // tasks that have been started
	starts       int
	startsAgain  int // of tasks that had been started before
	lastStart    time.Time
	longestGap   time.Duration // between two starts
	violations   []string
}

func newLocalRecord() *localRecord {
	return &localRecord{
		completed: map[string]bool{},
		placed:    map[string]*localTask{},
		gangs:     map[string]map[string]*localTask{},
		started:   map[string]bool{},
	}
}

func (r *localRecord) listViolations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

func (r *localRecord) taskStarts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts
}

func (r *localRecord) restarts() (restarts int, longestGap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startsAgain, r.longestGap
}

func (r *localRecord) checkDependencies(dependencies func(task string) []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dependencies = dependencies
}

func (r *localRecord) taskCompleted(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completed[task]
}

// dependenciesOf lists the tasks that have to be completed before one starts. The mutex
// must not be held: whoever lists them has a lock of his own.
func (r *localRecord) dependenciesOf(task string) []string {
	r.mu.Lock()
	dependencies := r.dependencies
	r.mu.Unlock()
	if dependencies == nil {
		return nil
	}
	return dependencies(task)
}

// recordStart notes that a task is on a machine from now on.
func (r *localRecord) recordStart(t *localTask) {
	dependencies := r.dependenciesOf(t.id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	for _, p := range dependencies {
		if !r.completed[p] {
			r.violations = append(r.violations, fmt.Sprintf("too_early: %s starts before %s has completed", t.id, p))
			break
		}
	}
	if r.started[t.id] {
		r.startsAgain++
	}
	r.started[t.id] = true
	now := time.Now()
	if !r.lastStart.IsZero() {
		r.longestGap = max(r.longestGap, now.Sub(r.lastStart))
	}
	r.lastStart = now
	if other := r.placed[t.id]; other != nil {
		r.violations = append(r.violations, fmt.Sprintf(
			"ran_twice: %s starts on %s while it is on %s", t.id, t.machine.name, other.machine.name))
	}
	r.placed[t.id] = t
	gang := t.jobAttempt()
	if r.gangs[gang] == nil {
		r.gangs[gang] = map[string]*localTask{}
	}
	r.gangs[gang][t.id] = t
}

// recordEnd notes that a task is not on its machine any more.
func (r *localRecord) recordEnd(t *localTask, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.placed[t.id] == t {
		delete(r.placed, t.id)
	}
	gang := t.jobAttempt()
	if r.gangs[gang][t.id] == t {
		delete(r.gangs[gang], t.id)
	}
	if len(r.gangs[gang]) == 0 {
		delete(r.gangs, gang)
	}
	if completed {
		r.completed[t.id] = true
	}
}

// gangIsComplete reports whether all tasks of a gang's attempt are on machines.
func (r *localRecord) gangIsComplete(t *localTask) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.gangs[t.jobAttempt()]) == t.spec.Tasks
}
