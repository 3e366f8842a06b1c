package agent_test

import (
	"context"
	"testing"
	"time"

	"robinstack/agent"
	"robinstack/fakes"
)

// A machine whose claim took longer than its worker waits is owned, and no report of it was
// answered: its lease counts from its beginning, and what is started there now would be
// killed with it. It gets tasks from its next answered report on. At 3,000 machines 150 to
// 400 tasks were killed so in four minutes.
func TestNewMachineServesFromItsFirstAnsweredReport(t *testing.T) {
	story(t, func(t *testing.T, ctx context.Context, state *fakes.State, workers *fakes.Workers) {
		n := start(t, ctx, "host-0", state, workers)
		epoch := slot(t, n, "s", 0)
		w := workers.Add("m1", "box", "a")
		state.Delay(3200 * time.Millisecond)
		if reply := n.report(workers, w); reply.Owner {
			t.Fatal("the claim was in time: this shows nothing")
		}
		state.Delay(0)
		time.Sleep(2 * time.Second)
		if _, owned := n.entries()["m1"]; !owned {
			t.Fatal("it is not owned: this shows nothing")
		}
		if got := n.commit(t, "m1", "s", epoch, 0, 1); got != agent.Refused {
			t.Errorf("before any answered report: %q", got)
		}
		if reply := n.report(workers, w); !reply.Owner {
			t.Fatal("its report is not answered")
		}
		if got := n.commit(t, "m1", "s", epoch, 0, 2); got != agent.Started {
			t.Errorf("after its report was answered: %q", got)
		}
	})
}
