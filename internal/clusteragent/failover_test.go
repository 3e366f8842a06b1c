package clusteragent_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// When an owner's session ends, a successor takes over its machines, and the worker must reject
// commands with the former owner's token.
func TestSuccessorTakesOverAndFencesFormerOwner(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a, b := bed.startNode("host-0"), bed.startNode("host-1")
		epoch := a.acquireJobShard("s", 0)
		w := bed.workers.Add("m1", "box", "a")
		a.sendHeartbeat(w)
		time.Sleep(time.Second)
		bed.putJobRecord()
		if got := a.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("commit: got %q, want %q", got, agentapi.Started)
		}
		var oldToken uint64
		bed.workers.WithLock(func() { oldToken = w.Heartbeat.FencingToken })
		a.stop()
		synctest.Wait()
		if err := bed.state.Revoke(bed.ctx, 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		e, ok := b.entries()["m1"]
		if !ok || !e.Settled || len(e.Tasks) != 1 {
			t.Fatalf("successor: got entry %+v (%v), want a reconciled one with 1 task", e, ok)
		}
		if _, done, _ := bed.workers.Send(bed.ctx, "m1", oldToken, 1, nil); done {
			t.Fatal("worker accepted a command with the former owner's token")
		}
	})
}

// The first command of a new owner is lost. It must be sent again before the machine counts as
// unresponsive: otherwise the machine is deleted together with its tasks.
func TestLostCommandDoesNotMakeMachineUnresponsive(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a, b := bed.startNode("host-0"), bed.startNode("host-1")
		w := bed.workers.Add("m1", "box", "a")
		a.sendHeartbeat(w)
		time.Sleep(time.Second)
		bed.workers.WithLock(func() { w.CommandsToLose = 1 })
		a.stop()
		synctest.Wait()
		if err := bed.state.Revoke(bed.ctx, 1); err != nil {
			t.Fatal(err)
		}
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if b.entries()["m1"].Silent {
				t.Fatal("machine counts as unresponsive after one lost command")
			}
		}
		if !b.entries()["m1"].Settled {
			t.Fatal("machine is not reconciled after 5s")
		}
	})
}

// The takeover of a thousand machines after a crash must not need one write per machine: while
// these were made, worker leases expired and job shards waited for minutes. The tasks must keep
// running, and every machine must be reconciled within seconds.
func TestFailoverOfThousandMachinesNeedsFewWrites(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a := bed.startNode("host-0")
		epoch := a.acquireJobShard("s", 0)
		before := bed.state.Changes()
		var workers []*emulator.Worker
		for i := range 1000 {
			workers = append(workers, bed.workers.Add(fmt.Sprintf("m%d", i), "box", "a"))
			go a.sendHeartbeat(workers[i])
		}
		for range 3 { // more heartbeats arrive at once than claims may be queued; those machines send another
			time.Sleep(5 * time.Second)
			owned := a.entries()
			for _, w := range workers {
				if _, ok := owned[w.Heartbeat.Machine]; !ok {
					go a.sendHeartbeat(w)
				}
			}
		}
		time.Sleep(5 * time.Second)
		if n := len(a.entries()); n != 1000 || bed.state.Changes()-before != 1000 {
			t.Fatalf("got %d machines after %d changes, want 1000 after 1000", n, bed.state.Changes()-before)
		}
		bed.putJobRecord()
		for _, w := range workers {
			a.sendHeartbeat(w)
		}
		if got := a.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("commit: got %q, want %q", got, agentapi.Started)
		}
		b := bed.startNode("host-1")
		before = bed.state.Changes()
		a.stop()
		synctest.Wait()
		if err := bed.state.Revoke(bed.ctx, 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		reconciled := 0
		for _, e := range b.entries() {
			if e.Settled {
				reconciled++
			}
		}
		// Each answer of a watch is bounded, and the answers together are complete.
		seen, since := map[string]bool{}, uint64(0)
		for more := true; more; {
			var reply agentapi.WatchReply
			if err := b.service.Watch(agentapi.WatchRequest{Instance: b.session.Incarnation, Since: since, Wait: time.Second}, &reply); err != nil {
				t.Fatal(err)
			}
			if since, more = reply.Ver, reply.More; len(reply.Entries) > 300 {
				t.Fatalf("got %d entries in one answer, want at most 300", len(reply.Entries))
			}
			for _, e := range reply.Entries {
				seen[e.Machine] = true
			}
		}
		if len(seen) != 1000 {
			t.Fatalf("watch: got %d machines, want 1000", len(seen))
		}
		if n := bed.state.Changes() - before; reconciled != 1000 || n > 20 || bed.taskCount(workers[1]) != 1 {
			t.Fatalf("got %d machines reconciled after %d changes and %d tasks on m1, want 1000 after at most 20 and 1 task",
				reconciled, n, bed.taskCount(workers[1]))
		}
	})
}

// A machine that another controller claims and loses again between two passes returns under a later
// ownership revision. When the entry with the earlier revision was kept, it counted as unreconciled
// forever, and no job shard that was taken over was reconciled any more.
func TestReturningMachineIsAdoptedUnderNewRevision(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		w := bed.workers.Add("m1", "box", "a")
		n.sendHeartbeat(w)
		time.Sleep(time.Second)
		other := statekv.Holder{Host: "host-9", Incarnation: 1} // has no session when its keys are seen
		if _, err := bed.state.Txn(bed.ctx, nil, []statekv.Op{
			{Set: statekv.MachineShardPrefix + "host-9.1.0", Value: shard.Record{Holder: other}},
			{Set: statekv.MachinePrefix + "m1", Value: shard.MachineRecord{Shard: "host-9.1.0", Address: "m1", Type: "box", Zone: "a"}},
		}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		n.sendHeartbeat(w)
		time.Sleep(time.Second)
		kv, _ := n.mirror.Get(statekv.MachinePrefix + "m1")
		_, rev := shard.OwnerOf(n.mirror, kv)
		if e := n.entries()["m1"]; e.Rev != rev || !e.Settled {
			t.Fatalf("got entry %+v, want a reconciled one of revision %d", e, rev)
		}
	})
}

// A worker that has seen a later fencing token has a successor that the mirror does not show yet.
// Its machine must not be adopted again under the same revision after its release: that lost its
// tasks, which were then started elsewhere (ran_twice).
func TestReleasedMachineIsNotAdoptedUnderTheSameRevision(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		if got := n.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("commit: got %q, want %q", got, agentapi.Started)
		}
		before := n.entries()["m1"].Rev
		bed.workers.WithLock(func() { w.Heartbeat.FencingToken += 1 << 10 })
		n.sendHeartbeat(w)
		for range 5 {
			if e, ok := n.entries()["m1"]; ok && e.Rev == before {
				t.Fatalf("machine was adopted again under revision %d: %+v", before, e)
			}
			time.Sleep(300 * time.Millisecond)
		}
		n.sendHeartbeat(w)
		time.Sleep(time.Second)
		if e := n.entries()["m1"]; e.Rev <= before || !e.Settled || len(e.Tasks) != 1 {
			t.Fatalf("got entry %+v, want a reconciled one with 1 task and a revision after %d", e, before)
		}
	})
}
