package rollout

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"robinstack/internal/statekv"
)

// stores are the state service and what each session has seen of it.
func (w *modelState) stores() [4]*modelStore {
	return [...]*modelStore{&w.modelStore, &w.sessions[0].seen, &w.sessions[1].seen, &w.sessions[2].seen}
}

// eachRevision calls f with all revisions of the state, in a fixed order.
func (w *modelState) eachRevision(f func(uint64)) {
	for _, l := range w.sessions {
		f(l.incarnation)
		f(w.versionRev)
		if l.pending != nil {
			for _, c := range l.pending.compares {
				f(c.Rev)
			}
		}
	}
	for _, s := range w.stores() {
		for k := range s.keys {
			f(s.keys[k].Rev)
		}
	}
}

// fingerprint names the state: revisions count only by their order.
func (w *modelState) fingerprint() string {
	order := []uint64{0}
	w.eachRevision(func(r uint64) { order = append(order, r) })
	slices.Sort(order)
	order = slices.Compact(order)
	b := make([]byte, 0, 1024)
	w.eachRevision(func(r uint64) {
		rank, _ := slices.BinarySearch(order, r)
		b = append(b, byte(rank))
	})
	for _, s := range w.stores() {
		for k := range s.keys {
			b = append(append(b, s.keys[k].Value...), '|')
		}
	}
	for _, l := range w.sessions {
		b = append(b, byte(l.build))
		if l.pending != nil {
			b = append(append(b, l.pending.fingerprint...), byte(len(l.pending.compares)))
			b = append(append(b, l.pending.features...), '|')
		}
	}
	left := w.budget
	return string(append(b, byte(left.joins), byte(left.commands), byte(left.writes), byte(left.ends)))
}

// noSession stands for a build where a host has no session at the start.
const noSession = -1

// initialState is the state in which every host has a session of the given build.
func initialState(builds [3]int, budget eventBudget) modelState {
	w := modelState{modelStore: modelStore{rev: 1}, budget: budget}
	w.set(statekv.LeaderKey, nil)
	for h, b := range builds {
		if b == noSession {
			continue
		}
		raw, err := json.Marshal(modelBuilds[b])
		if err != nil {
			panic(err)
		}
		w.rev++
		w.set(statekv.SessionPrefix+modelHosts[h], raw)
	}
	for h, b := range builds {
		if b != noSession {
			rev := w.entry(statekv.SessionPrefix + modelHosts[h]).Rev
			w.sessions[h] = modelSession{build: b, incarnation: rev, seen: w.modelStore}
		}
	}
	return w
}

// modelRun is a search: where it starts and which events it goes through.
type modelRun struct {
	builds [3]int
	budget eventBudget
}

// check goes through all states that follow from the first one, most at most, and returns
// the first broken invariant with the events that led to it.
func (run modelRun) check(planted omittedCompare, most int) (states int, trace []string, bad error) {
	type visited struct {
		modelState
		parent int
		event  string
	}
	first := initialState(run.builds, run.budget)
	queue, seen := []visited{{first, -1, ""}}, map[string]bool{first.fingerprint(): true}
	traceTo := func(at int) (trace []string) {
		for ; at > 0; at = queue[at].parent {
			trace = append(trace, queue[at].event)
		}
		slices.Reverse(trace)
		return trace
	}
	for k := 0; k < len(queue) && len(queue) < most; k++ {
		next, events, err := queue[k].successors(planted)
		if err != nil {
			return len(queue), traceTo(k), err
		}
		for i, w := range next {
			if id := w.fingerprint(); !seen[id] {
				seen[id] = true
				queue = append(queue, visited{w, k, events[i]})
			}
		}
	}
	return len(queue), nil, nil
}

// maxStates is more than any search without a planted fault goes through.
const maxStates = 100_000

func TestModelOfSessions(t *testing.T) {
	for name, run := range map[string]modelRun{
		"a join between raises":              {[3]int{2, 2, noSession}, eventBudget{joins: 1, writes: 1}},
		"an operator and a join":             {[3]int{2, 2, noSession}, eventBudget{joins: 1, commands: 1}},
		"a build that knows less, and end":   {[3]int{2, 1, 2}, eventBudget{writes: 1, ends: 1}},
		"the last former build is replaced":  {[3]int{2, 2, 0}, eventBudget{joins: 1, writes: 1, ends: 1}},
		"holds and lowerings beside a write": {[3]int{2, 2, 2}, eventBudget{commands: 1, writes: 1}},
		"two operators":                      {[3]int{2, 2, 2}, eventBudget{commands: 2}},
		"the last of the former version":     {[3]int{3, 3, 2}, eventBudget{joins: 1, ends: 1}},
		"a dependent job and a lowering":     {[3]int{3, 3, noSession}, eventBudget{commands: 1, writes: 1}},
		"a lowering and a join from before":  {[3]int{3, noSession, noSession}, eventBudget{joins: 1, commands: 1, writes: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, trace, err := run.check("", maxStates)
			if err != nil || states >= maxStates {
				t.Errorf("%v: %v after %d states:\n%s", run, err, states, strings.Join(trace, "\n"))
			}
			t.Logf("%v: %d states", run, states)
		})
	}
}

// A compare that is omitted anywhere is found by the same search.
func TestModelFindsOmittedCompares(t *testing.T) {
	full := eventBudget{joins: 1, commands: 2, writes: 1, ends: 1}
	for planted, run := range map[omittedCompare]modelRun{
		"join " + statekv.ClusterVersionKey:   {[3]int{2, 2, noSession}, eventBudget{joins: 1, commands: 1}},
		"raise " + statekv.SessionPrefix:      {[3]int{2, 2, noSession}, full},
		"raise " + statekv.ClusterVersionKey:  {[3]int{2, 2, 2}, full},
		"lower " + statekv.ClusterVersionKey:  {[3]int{2, 2, 2}, full},
		"write " + statekv.ClusterVersionKey:  {[3]int{2, 2, 2}, full},
		"write " + statekv.SessionPrefix:      {[3]int{2, 2, 0}, full},
		"submit " + statekv.ClusterVersionKey: {[3]int{3, 3, noSession}, eventBudget{commands: 1, writes: 1}},
	} {
		t.Run(string(planted), func(t *testing.T) {
			t.Parallel()
			states, trace, err := run.check(planted, maxStates)
			if err == nil {
				t.Fatalf("without %s nothing was found in %d states", planted, states)
			}
			t.Logf("without %s: %v\n  %s", planted, err, strings.Join(trace, "\n  "))
		})
	}
}
