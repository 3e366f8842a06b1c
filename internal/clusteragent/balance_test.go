package clusteragent_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// addMachines starts n workers that send heartbeats to owner, and waits until it owns their
// machines.
func addMachines(owner *node, n int) []*emulator.Worker {
	var workers []*emulator.Worker
	for i := range n {
		workers = append(workers, owner.bed.workers.Add(fmt.Sprintf("m%d", i), "box", "a"))
	}
	for range 4 {
		for _, w := range workers {
			go owner.sendHeartbeat(w)
		}
		time.Sleep(4 * time.Second)
	}
	return workers
}

// A controller reaches the state service but receives no heartbeats from its workers. It must not
// own their machines until the leases expire: the workers turn to the other controllers, which take
// over whole shards. Taking over one machine at a time took longer than the leases of hundreds of
// machines.
func TestOwnerUnreachableByWorkersLosesShards(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a := bed.startNode("host-0")
		epoch := a.acquireJobShard("s", 0)
		workers := addMachines(a, 200)
		bed.putJobRecord()
		if got := a.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("commit: got %q, want %q", got, agentapi.Started)
		}
		b := bed.startNode("host-1")
		time.Sleep(11 * time.Second)
		before := bed.state.Changes()
		for range 4 { // a receives no heartbeats from here on; every worker tries b
			for _, w := range workers {
				b.sendHeartbeat(w)
			}
			time.Sleep(2 * time.Second)
		}
		if n := len(b.entries()); n != 200 || bed.state.Changes()-before > 10 {
			t.Fatalf("reachable controller: got %d machines after %d changes, want 200 after at most 10", n, bed.state.Changes()-before)
		}
		if n := len(a.entries()); n != 0 {
			t.Fatalf("former owner: got %d machines, want 0", n)
		}
		if e := b.entries()["m1"]; !e.Settled || len(e.Tasks) != 1 {
			t.Fatalf("got entry %+v, want a reconciled one with 1 task", e)
		}
		// A machine that comes up from now on is claimed into a shard that a still owns.
		w := bed.workers.Add("new", "box", "a")
		a.sendHeartbeat(w)
		time.Sleep(2 * time.Second)
		if a.sendHeartbeat(w); len(a.entries()) != 1 {
			t.Fatalf("former owner: got %d machines, want 1: it no longer claims new machines", len(a.entries()))
		}
	})
}

// A restarted controller owns a part of the machines again after a while, but none that it cannot
// reach.
func TestShardsAreRebalancedToReachableOwner(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a := bed.startNode("host-0")
		workers := addMachines(a, 40)
		bed.workers.WithLock(func() {
			for _, w := range workers {
				w.HoldCommands = true
			}
		})
		b := bed.startNode("host-1")
		time.Sleep(20 * time.Second)
		if n := len(b.entries()); n != 0 {
			t.Fatalf("got %d machines that the controller cannot reach, want 0", n)
		}
		bed.workers.WithLock(func() {
			for _, w := range workers {
				w.HoldCommands = false
			}
		})
		time.Sleep(5 * time.Second)
		if n := len(b.entries()); n < 10 || n > 30 || n+len(a.entries()) != 40 {
			t.Fatalf("got %d and %d machines, want 40 in all and 10 to 30 for the second controller", len(a.entries()), n)
		}
	})
}

// A machine whose shard does not exist must be claimed again, also by the controller that still
// manages it. Otherwise the jobs of a crashed scheduler wait for the machine forever.
func TestMachineWithoutShardIsReclaimed(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a := bed.startNode("host-0")
		addMachines(a, 1)
		kv, ok := a.mirror.Get(statekv.MachinePrefix + "m0")
		if !ok {
			t.Fatal("machine m0 has no key")
		}
		if _, err := bed.state.Txn(bed.ctx, nil, []statekv.Op{{Delete: statekv.MachineShardPrefix + shard.ParseMachineRecord(kv).Shard}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		kv, _ = a.mirror.Get(statekv.MachinePrefix + "m0")
		if holder, _ := shard.OwnerOf(a.mirror, kv); holder != a.session.Holder || !a.entries()["m0"].Settled {
			t.Fatalf("got owner %v and entry %+v, want owner %v and a reconciled entry", holder, a.entries()["m0"], a.session.Holder)
		}
	})
}

// noShardCreation is a state service that rejects the creation of machine shards.
type noShardCreation struct{ *emulator.StateService }

func (s noShardCreation) Txn(ctx context.Context, compares []statekv.Compare, ops []statekv.Op) (uint64, error) {
	for _, c := range compares {
		if c.Rev == 0 && strings.HasPrefix(c.Key, statekv.MachineShardPrefix) {
			return 0, statekv.ErrRejected
		}
	}
	return s.StateService.Txn(ctx, compares, ops)
}

// After a crash of all controllers, the write limit of the state service delays the creation of
// registration shards by a second or two. The takeover of machines must not wait for it: when it
// did, all job shards were reconciled 3 s later.
func TestFailoverDoesNotWaitForRegistrationShards(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a := bed.startNode("host-0")
		addMachines(a, 1)
		a.stop()
		if err := bed.state.Revoke(bed.ctx, 1); err != nil {
			t.Fatal(err)
		}
		b := bed.startNodeWith(settings(), "host-0", noShardCreation{bed.state})
		time.Sleep(time.Second)
		if e, ok := b.entries()["m0"]; !ok || !e.Settled {
			t.Fatalf("got entry %+v (%v), want a reconciled one", e, ok)
		}
	})
}
