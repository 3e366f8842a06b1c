package clusteragent_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// addFleet puts up n workers that send heartbeats to a, and waits until it owns them.
func addFleet(a *node, n int) []*emulator.Worker {
	var all []*emulator.Worker
	for i := range n {
		all = append(all, a.bed.workers.Add(fmt.Sprintf("m%d", i), "box", "a"))
	}
	for range 4 {
		for _, w := range all {
			go a.sendHeartbeat(w)
		}
		time.Sleep(4 * time.Second)
	}
	return all
}

// A controller that reaches the state service but not its workers must not hold
// them until their leases run out: those come to the others, which take whole
// shards. Machine by machine that took longer than the leases of hundreds.
func TestOwnerUnreachableByWorkersLosesShards(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a := bed.startNode("host-0")
		epoch := a.takeJobShard("s", 0)
		all := addFleet(a, 200)
		if _, err := bed.state.Txn(bed.ctx, nil, []statekv.Op{{Set: job.RecordKey("wk-1"), Value: job.Record{Spec: job.Spec{ID: "wk-1", Tasks: 9}, JobShard: "s"}}}); err != nil {
			t.Fatal(err)
		}
		if got := a.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("result %q", got)
		}
		b := bed.startNode("host-1")
		time.Sleep(11 * time.Second)
		before := bed.state.Changes()
		for range 4 { // a hears nothing from here on; every worker tries b
			for _, w := range all {
				b.sendHeartbeat(w)
			}
			time.Sleep(2 * time.Second)
		}
		if n := len(b.entries()); n != 200 || bed.state.Changes()-before > 10 {
			t.Fatalf("the controller that they reach has %d machines after %d changes", n, bed.state.Changes()-before)
		}
		if n := len(a.entries()); n != 0 {
			t.Fatalf("the earlier owner still looks after %d", n)
		}
		if e := b.entries()["m1"]; !e.Settled || len(e.Tasks) != 1 {
			t.Fatalf("the task was lost: %+v", e)
		}
		// Machines that come up from now on are claimed into shards that it still has.
		w := bed.workers.Add("new", "box", "a")
		a.sendHeartbeat(w)
		time.Sleep(2 * time.Second)
		if a.sendHeartbeat(w); len(a.entries()) != 1 {
			t.Fatal("a controller whose shards were taken claims no machines any more")
		}
	})
}

// A controller that is back owns part of the fleet again after a while, but not
// machines that it cannot reach.
func TestShardsAreRebalancedToReachableOwner(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a := bed.startNode("host-0")
		all := addFleet(a, 40)
		bed.workers.WithLock(func() {
			for _, w := range all {
				w.HoldCommands = true
			}
		})
		b := bed.startNode("host-1")
		time.Sleep(20 * time.Second)
		if n := len(b.entries()); n != 0 {
			t.Fatalf("took %d machines that it cannot reach", n)
		}
		bed.workers.WithLock(func() {
			for _, w := range all {
				w.HoldCommands = false
			}
		})
		time.Sleep(5 * time.Second)
		if n := len(b.entries()); n < 10 || n > 30 || n+len(a.entries()) != 40 {
			t.Fatalf("%d and %d of 40 machines", len(a.entries()), n)
		}
	})
}

// A machine whose shard has vanished is claimed anew, also by the controller that
// still looks after it: the jobs of a dead scheduler waited for such machines for ever.
func TestMachineWithoutShardIsReclaimed(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a := bed.startNode("host-0")
		addFleet(a, 1)
		kv, ok := a.mirror.Get(statekv.MachinePrefix + "m0")
		if !ok {
			t.Fatal("the machine has no key")
		}
		if _, err := bed.state.Txn(bed.ctx, nil, []statekv.Op{{Delete: statekv.MachineShardPrefix + shard.ParseMachineRecord(kv).Shard}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		kv, _ = a.mirror.Get(statekv.MachinePrefix + "m0")
		if holder, _ := shard.OwnerOf(a.mirror, kv); holder != a.session.Holder || !a.entries()["m0"].Settled {
			t.Fatalf("the machine's owner is %v, its entry %+v", holder, a.entries()["m0"])
		}
	})
}

// noNewShards is a state service that makes no new shards for now.
type noNewShards struct{ *emulator.StateService }

func (s noNewShards) Txn(ctx context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error) {
	for _, c := range when {
		if c.Rev == 0 && strings.HasPrefix(c.Key, statekv.MachineShardPrefix) {
			return 0, statekv.ErrRejected
		}
	}
	return s.StateService.Txn(ctx, when, then)
}

// After a crash of all controllers the state service's write limit keeps a session
// from making shards for new machines for a second or two. The machines that it
// took over had to wait for that: all job shards were reconciled 3 s later.
func TestFailoverDoesNotWaitForIntakeShards(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a := bed.startNode("host-0")
		addFleet(a, 1)
		a.stop()
		if err := bed.state.Revoke(bed.ctx, 1); err != nil {
			t.Fatal(err)
		}
		b := bed.startNodeWith(settings(), "host-0", noNewShards{bed.state})
		time.Sleep(time.Second)
		if e, ok := b.entries()["m0"]; !ok || !e.Settled {
			t.Fatalf("not taken over: %+v", e)
		}
	})
}
