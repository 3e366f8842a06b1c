package rollout

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"robinstack/internal/statekv"
)

// stores returns the state service and, for each session, its copy of the state service as last
// read.
func (state *modelState) stores() [4]*modelStore {
	return [...]*modelStore{&state.modelStore, &state.sessions[0].seen, &state.sessions[1].seen, &state.sessions[2].seen}
}

// eachRevision calls f with every revision in the state, in a fixed order.
func (state *modelState) eachRevision(f func(uint64)) {
	for _, session := range state.sessions {
		f(session.incarnation)
		f(state.versionRev)
		if session.pending != nil {
			for _, c := range session.pending.compares {
				f(c.Rev)
			}
		}
	}
	for _, s := range state.stores() {
		for k := range s.keys {
			f(s.keys[k].Rev)
		}
	}
}

// fingerprint identifies a state. Only the order of revisions counts, not their values.
func (state *modelState) fingerprint() string {
	order := []uint64{0}
	state.eachRevision(func(r uint64) { order = append(order, r) })
	slices.Sort(order)
	order = slices.Compact(order)
	b := make([]byte, 0, 1024)
	state.eachRevision(func(r uint64) {
		rank, _ := slices.BinarySearch(order, r)
		b = append(b, byte(rank))
	})
	for _, s := range state.stores() {
		for k := range s.keys {
			b = append(append(b, s.keys[k].Value...), '|')
		}
	}
	for _, session := range state.sessions {
		b = append(b, byte(session.build))
		if session.pending != nil {
			b = append(append(b, session.pending.fingerprint...), byte(len(session.pending.compares)))
			b = append(append(b, session.pending.features...), '|')
		}
	}
	left := state.budget
	return string(append(b, byte(left.joins), byte(left.commands), byte(left.writes), byte(left.ends)))
}

// noSession in the place of a build means that the host has no session at the start.
const noSession = -1

// initialState returns the state in which every host has a session of the given build.
func initialState(builds [3]int, budget eventBudget) modelState {
	state := modelState{modelStore: modelStore{rev: 1}, budget: budget}
	state.set(statekv.LeaderKey, nil)
	for h, b := range builds {
		if b == noSession {
			continue
		}
		raw, err := json.Marshal(modelBuilds[b])
		if err != nil {
			panic(err)
		}
		state.rev++
		state.set(statekv.SessionPrefix+modelHosts[h], raw)
	}
	for h, b := range builds {
		if b != noSession {
			rev := state.entry(statekv.SessionPrefix + modelHosts[h]).Rev
			state.sessions[h] = modelSession{build: b, incarnation: rev, seen: state.modelStore}
		}
	}
	return state
}

// modelRun is a search: the builds at its start and the events that it explores.
type modelRun struct {
	builds [3]int
	budget eventBudget
}

// check explores all states that are reachable from the initial one, up to a limit. It returns the
// number of states and the first violation of an invariant, with the events that led to it.
func (run modelRun) check(omitted omittedCompare, limit int) (states int, trace []string, violation error) {
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
	for k := 0; k < len(queue) && len(queue) < limit; k++ {
		next, events, err := queue[k].successors(omitted)
		if err != nil {
			return len(queue), traceTo(k), err
		}
		for i, state := range next {
			if id := state.fingerprint(); !seen[id] {
				seen[id] = true
				queue = append(queue, visited{state, k, events[i]})
			}
		}
	}
	return len(queue), nil, nil
}

// maxStates exceeds the number of states of every search in which no compare is omitted.
const maxStates = 100_000

// No sequence of events within the budgets violates an invariant.
func TestModelKeepsInvariants(t *testing.T) {
	for name, run := range map[string]modelRun{
		"a join between raises":                   {[3]int{2, 2, noSession}, eventBudget{joins: 1, writes: 1}},
		"an operator and a join":                  {[3]int{2, 2, noSession}, eventBudget{joins: 1, commands: 1}},
		"a build with fewer features, and an end": {[3]int{2, 1, 2}, eventBudget{writes: 1, ends: 1}},
		"the last legacy build is replaced":       {[3]int{2, 2, 0}, eventBudget{joins: 1, writes: 1, ends: 1}},
		"commands and a write":                    {[3]int{2, 2, 2}, eventBudget{commands: 1, writes: 1}},
		"two operators":                           {[3]int{2, 2, 2}, eventBudget{commands: 2}},
		"the last previous build is replaced":     {[3]int{3, 3, 2}, eventBudget{joins: 1, ends: 1}},
		"a dependent job and a lowering":          {[3]int{3, 3, noSession}, eventBudget{commands: 1, writes: 1}},
		"a lowering and a join":                   {[3]int{3, noSession, noSession}, eventBudget{joins: 1, commands: 1, writes: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, trace, err := run.check("", maxStates)
			if err != nil || states >= maxStates {
				t.Errorf("%v: %v after %d states, want no violation and fewer states than the limit:\n%s",
					run, err, states, strings.Join(trace, "\n"))
			}
			t.Logf("%v: %d states", run, states)
		})
	}
}

// The same search finds a violation when any one of the compares is omitted.
func TestModelFindsOmittedCompares(t *testing.T) {
	full := eventBudget{joins: 1, commands: 2, writes: 1, ends: 1}
	for omitted, run := range map[omittedCompare]modelRun{
		"join " + statekv.ClusterVersionKey:   {[3]int{2, 2, noSession}, eventBudget{joins: 1, commands: 1}},
		"raise " + statekv.SessionPrefix:      {[3]int{2, 2, noSession}, full},
		"raise " + statekv.ClusterVersionKey:  {[3]int{2, 2, 2}, full},
		"lower " + statekv.ClusterVersionKey:  {[3]int{2, 2, 2}, full},
		"write " + statekv.ClusterVersionKey:  {[3]int{2, 2, 2}, full},
		"write " + statekv.SessionPrefix:      {[3]int{2, 2, 0}, full},
		"submit " + statekv.ClusterVersionKey: {[3]int{3, 3, noSession}, eventBudget{commands: 1, writes: 1}},
	} {
		t.Run(string(omitted), func(t *testing.T) {
			t.Parallel()
			states, trace, err := run.check(omitted, maxStates)
			if err == nil {
				t.Fatalf("without the compare %s no violation was found in %d states", omitted, states)
			}
			t.Logf("without the compare %s: %v\n  %s", omitted, err, strings.Join(trace, "\n  "))
		})
	}
}
