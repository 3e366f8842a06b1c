package scheduler

import (
	"context"
	"testing"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
)

// refusingOwner is the owner of all machines. It refuses all commits to one of them.
type refusingOwner struct{ refused string }

func (o refusingOwner) Call(_ context.Context, _, _ string, args, reply any) error {
	result := agentapi.Held
	if args.(agentapi.CommitRequest).Machine == o.refused {
		result = agentapi.Refused
	}
	reply.(*agentapi.CommitReply).Verdicts = []string{result}
	return nil
}

// Invariant wrong_place: the owner in one zone refuses a member of a gang that is spread over zones.
func TestSpreadGangDoesNotFallBackToAnotherZone(t *testing.T) {
	for _, spread := range []bool{true, false} {
		s := &Scheduler{peers: refusingOwner{refused: "b1"}}
		spec := job.Spec{ID: "wk-1", Shape: job.Gang, Tasks: 2, Spread: spread}
		j := &jobState{spec: &spec, tasks: make([]taskState, 2)}
		a1 := agentapi.Candidate{Machine: "a1", Zone: "a", Fits: 2}
		b1 := agentapi.Candidate{Machine: "b1", Zone: "b", Fits: 2}
		var bindings []*binding
		for index, machine := range []agentapi.Candidate{a1, b1} {
			j.tasks[index].beginAttempt(1, machine.Zone)
			bindings = append(bindings, &binding{ref: j.ref(index), candidates: []agentapi.Candidate{machine}})
		}
		commit := agentapi.CommitRequest{Request: agentapi.Request{Spec: spec}}
		reserved, complete := s.reserveGang(t.Context(), j, commit, bindings)
		if complete == spread {
			t.Errorf("spread %t: got reservations %v, complete %t", spread, reserved, complete)
		}
	}
}
