package steward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/agent"
	"robinstack/job"
)

// askFor asks for all tasks of a job and returns whether all were granted, and
// whether any were.
func askFor(t *testing.T, s *Steward, id string, tasks, gpus int, gang bool, release ...agent.TaskRef) (all, any bool) {
	t.Helper()
	r := PermitRequest{Slot: "s", Epoch: 1, Gang: gang, Release: release}
	for k := range tasks {
		r.Wants = append(r.Wants, Want{Ref: agent.TaskRef{Job: id, Index: k, Attempt: 1}, Team: "t", Need: job.Need{GPUs: float64(gpus)}})
	}
	var reply PermitReply
	if err := NewService(s).Permit(r, &reply); err != nil {
		t.Fatal(err)
	}
	all = true
	for _, g := range reply.Granted {
		all, any = all && g, any || g
	}
	return all, any
}

// Guards against a large gang being starved by smaller jobs of its team: each task that
// ended was replaced at once by one of those, so that a gang of eight never found eight
// free. It gets its turn once tasks worth its need have ended, while smaller jobs go on
// asking; and a gang that does not ask any more holds nobody up.
func TestLargeGangGathersAtItsTeamsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSteward(t, t.Context())
		s.settled = true
		go func() { _ = s.member.Keep(t.Context()) }()
		small := func(k int) string { return fmt.Sprintf("wk-1%02d", k) }
		for k := range 10 {
			if all, _ := askFor(t, s, small(k), 1, 1, false); !all {
				t.Fatal("there is room for ten")
			}
		}
		started, next := -1, 10
		var waited time.Duration
		for ended := range 40 {
			time.Sleep(time.Second)
			if all, any := askFor(t, s, "wk-9", 8, 1, true); all {
				started, waited = ended, time.Duration(ended+1)*time.Second
				break
			} else if any {
				t.Fatal("a gang was granted in part")
			}
			// One of the small ones ends, and a new one asks.
			over := agent.TaskRef{Job: small(ended), Attempt: 1}
			if all, _ := askFor(t, s, small(next), 1, 1, false, over); all {
				next++
			}
		}
		if started < 8 || waited > 20*time.Second {
			t.Fatalf("the gang started after %d small tasks had ended, %v", started, waited)
		}
		for k := range 8 {
			s.ledger.release(agent.TaskRef{Job: "wk-9", Index: k, Attempt: 1})
		}
		askFor(t, s, "wk-8", 16, 1, true) // larger than what is left, and its placer goes
		time.Sleep(gatherAfter + gatherWhile)
		if all, _ := askFor(t, s, small(90), 1, 1, false); !all {
			t.Error("a gang that has gone holds its team up")
		}
	})
}
