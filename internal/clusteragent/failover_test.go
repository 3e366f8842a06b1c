package clusteragent_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// When an owner's session ends, a successor takes its machines, and the earlier
// owner's commands no longer pass at the worker.
func TestSuccessorTakesOverAndFencesFormerOwner(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a, b := bed.startNode("host-0"), bed.startNode("host-1")
		epoch := a.takeJobShard("s", 0)
		w := bed.workers.Add("m1", "box", "a")
		a.sendHeartbeat(w)
		time.Sleep(time.Second)
		if _, err := bed.state.Txn(bed.ctx, nil, []statekv.Op{{Set: job.RecordKey("wk-1"), Value: job.Record{Spec: job.Spec{ID: "wk-1", Tasks: 9}, JobShard: "s"}}}); err != nil {
			t.Fatal(err)
		}
		if got := a.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("result %q", got)
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
			t.Fatalf("survivor's entry: %+v (%v)", e, ok)
		}
		if _, done, _ := bed.workers.Send(bed.ctx, "m1", oldToken, 1, nil); done {
			t.Fatal("the dead owner's token still passes")
		}
	})
}

// The first command of a new owner is lost on the way. It was sent again only when the
// machine counted as unresponsive already, and was deleted with all that ran there.
func TestLostCommandDoesNotMakeMachineUnresponsive(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a, b := bed.startNode("host-0"), bed.startNode("host-1")
		w := bed.workers.Add("m1", "box", "a")
		a.sendHeartbeat(w)
		time.Sleep(time.Second)
		bed.workers.WithLock(func() { w.TimeOutNext = 1 })
		a.stop()
		synctest.Wait()
		if err := bed.state.Revoke(bed.ctx, 1); err != nil {
			t.Fatal(err)
		}
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if b.entries()["m1"].Silent {
				t.Fatal("the machine counts as unresponsive")
			}
		}
		if !b.entries()["m1"].Settled {
			t.Fatal("the machine is not reconciled")
		}
	})
}

// A crash with a thousand machines held must not take a write for each: by the
// time those were made, workers' leases had run out and job shards had waited for
// minutes. Their work goes on, and every machine is reconciled within seconds.
func TestFailoverOfThousandMachinesTakesFewWrites(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a := bed.startNode("host-0")
		epoch := a.takeJobShard("s", 0)
		before := bed.state.Changes()
		var all []*emulator.Worker
		for i := range 1000 {
			all = append(all, bed.workers.Add(fmt.Sprintf("m%d", i), "box", "a"))
			go a.sendHeartbeat(all[i])
		}
		for range 3 { // more come at once than are let wait; those come again
			time.Sleep(5 * time.Second)
			owned := a.entries()
			for _, w := range all {
				if _, ok := owned[w.Heartbeat.Machine]; !ok {
					go a.sendHeartbeat(w)
				}
			}
		}
		time.Sleep(5 * time.Second)
		if n := len(a.entries()); n != 1000 || bed.state.Changes()-before != 1000 {
			t.Fatalf("%d machines after %d changes", n, bed.state.Changes()-before)
		}
		if _, err := bed.state.Txn(bed.ctx, nil, []statekv.Op{{Set: job.RecordKey("wk-1"), Value: job.Record{Spec: job.Spec{ID: "wk-1", Tasks: 9}, JobShard: "s"}}}); err != nil {
			t.Fatal(err)
		}
		for _, w := range all {
			a.sendHeartbeat(w)
		}
		if got := a.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("result %q", got)
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
		// The answers of a watch are bounded, and together complete.
		seen, since := map[string]bool{}, uint64(0)
		for more := true; more; {
			var reply agentapi.WatchReply
			if err := b.service.Watch(agentapi.WatchRequest{Instance: b.session.Incarnation, Since: since, Wait: time.Second}, &reply); err != nil {
				t.Fatal(err)
			}
			if since, more = reply.Ver, reply.More; len(reply.Entries) > 300 {
				t.Fatalf("%d entries in one answer", len(reply.Entries))
			}
			for _, e := range reply.Entries {
				seen[e.Machine] = true
			}
		}
		if len(seen) != 1000 {
			t.Fatalf("a watch showed %d machines", len(seen))
		}
		if n := bed.state.Changes() - before; reconciled != 1000 || n > 20 || bed.taskCount(all[1]) != 1 {
			t.Fatalf("%d machines reconciled after %d changes; %d tasks on m1", reconciled, n, bed.taskCount(all[1]))
		}
	})
}

// A machine that another controller claimed and lost again between two looks
// came back under a later revision; the entry under the earlier one was taken for
// unreconciled for ever, and no job shard that was adopted was reconciled any more.
func TestReturningMachineIsAdoptedUnderNewRevision(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		w := bed.workers.Add("m1", "box", "a")
		n.sendHeartbeat(w)
		time.Sleep(time.Second)
		other := statekv.Holder{Host: "host-9", Incarnation: 1} // dead by the time it is seen
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
			t.Fatalf("owned under revision %d: %+v", rev, e)
		}
	})
}

// A worker that has seen a later token has a successor that the mirror does not
// show yet. Its machine, once given up, was taken up again under the same
// revision, without its tasks, and they were started elsewhere (ran_twice).
func TestReleasedMachineIsNotAdoptedUnderTheSameRevision(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, w, epoch := bed.startOwner()
		if got := n.commit("m1", "s", epoch, 0, 1); got != agentapi.Started {
			t.Fatalf("result %q", got)
		}
		before := n.entries()["m1"].Rev
		bed.workers.WithLock(func() { w.Heartbeat.FencingToken += 1 << 10 })
		n.sendHeartbeat(w)
		for range 5 {
			if e, ok := n.entries()["m1"]; ok && e.Rev == before {
				t.Fatalf("taken up again: %+v", e)
			}
			time.Sleep(300 * time.Millisecond)
		}
		n.sendHeartbeat(w)
		time.Sleep(time.Second)
		if e := n.entries()["m1"]; e.Rev <= before || !e.Settled || len(e.Tasks) != 1 {
			t.Fatalf("claimed anew with what runs there: %+v", e)
		}
	})
}
