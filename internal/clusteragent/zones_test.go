package clusteragent_test

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/clusteragent"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// The lease grace period at its bound: an owner that has lost the state service keeps its
// workers' leases alive as long as it may, and what it keeps alive is gone within
// the cancellation time of the last moment at which it knew of all cancellations.
// With a margin of 4 s, and workers that sent heartbeats when they pleased, 277 machines
// were given up a second before their zone came back.
func TestLeaseGracePeriodIsUsedToItsBoundOnly(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		w := bed.workers.Add("m1", "box", "a")
		for range 3 {
			n.sendHeartbeat(w)
			time.Sleep(time.Second)
		}
		bed.state.SetOutage(true, false)
		lost := time.Now() // a cancellation may be written from now on
		var kept time.Time // when the last heartbeat was sent that was answered
		var seen uint64
		next := time.Now()
		for time.Since(lost) < cancelDeadline {
			var token uint64
			bed.workers.WithLock(func() { token = w.Heartbeat.FencingToken })
			// Workers send heartbeats at intervals, and within half a second of a higher token.
			if time.Now().After(next) || token > seen {
				seen, next = token, time.Now().Add(8*time.Second)
				if n.sendHeartbeat(w).Owner {
					kept = time.Now()
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		end := kept.Add(settings().Workers.LeaseDuration).Sub(lost)
		if end > cancelDeadline {
			t.Errorf("tasks are gone %v after the owner knew all cancellations, %v are allowed", end, cancelDeadline)
		}
		if end < cancelDeadline-5*time.Second {
			t.Errorf("tasks die after %v already, %v are allowed", end, cancelDeadline)
		}
	})
}

// Machines of owners in other zones died 34 s after their zone was cut off: a new
// machine's worker is sent to a controller of its zone, and taken by whoever it
// comes to if it is not taken there.
func TestNewMachineIsRedirectedToOwnerInItsZone(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a := bed.startNodeInZone("host-0", "a")
		b := bed.startNodeInZone("host-1", "b")
		time.Sleep(2 * time.Second)
		w := bed.workers.Add("m1", "box", "b")
		r := bed.workers.NextHeartbeat(w)
		if reply := a.agent.Heartbeat(bed.ctx, &r); reply.Owner || reply.RedirectTo != "host-1" {
			t.Fatalf("another zone's machine: %+v", reply)
		}
		r = bed.workers.NextHeartbeat(w)
		if reply := b.agent.Heartbeat(bed.ctx, &r); !reply.Owner {
			t.Fatalf("its own zone's controller: %+v", reply)
		}
		w = bed.workers.Add("m2", "box", "b")
		for range 4 { // host-1 does not answer it
			r = bed.workers.NextHeartbeat(w)
			a.agent.Heartbeat(bed.ctx, &r)
			time.Sleep(time.Second)
		}
		if _, ok := a.entries()["m2"]; !ok {
			t.Fatal("a machine that its zone's controller does not take is left alone")
		}
	})
}

// When an owner dies its shards go to controllers of their zone, and shards with
// machines that are unresponsive or not confirmed stay where they are: with another owner
// the wait for their leases would begin anew, and job shards wait for it.
func TestShardsStayInZoneAndUnreconciledShardsAreNotMoved(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a := bed.startNodeInZone("host-0", "a")
		var all []*emulator.Worker
		for i := range 40 {
			w := bed.workers.Add(fmt.Sprint("m", i), "box", "a")
			all = append(all, w)
			go a.sendHeartbeat(w)
		}
		time.Sleep(4 * time.Second)
		for _, w := range all {
			go a.sendHeartbeat(w)
		}
		unreconciled := func(a *clusteragent.Agent) {
			a.LastEntry = func(m string) agentapi.MachineEntry { return agentapi.MachineEntry{Machine: m, Settled: false} }
		}
		c := bed.startNodeInZone("host-2", "a", unreconciled)
		b := bed.startNodeInZone("host-1", "b", unreconciled)
		time.Sleep(25 * time.Second)
		if n := len(b.entries()) + len(c.entries()); n != 0 {
			t.Fatalf("%d unreconciled machines were evened out", n)
		}
		a.stop()
		if err := bed.state.Revoke(bed.ctx, 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if nb, nc := len(b.entries()), len(c.entries()); nb != 0 || nc != 40 {
			t.Fatalf("the other zone's controller took %d machines, their own zone's %d", nb, nc)
		}
		if kv, _ := c.mirror.Get(statekv.MachinePrefix + "m0"); shard.ParseMachineRecord(kv) == nil {
			t.Fatal("a machine's key is gone")
		}
	})
}
