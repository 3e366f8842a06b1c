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

// The lease grace period must be used in full and not exceeded: an owner that has lost the state
// service renews its workers' leases as long as it may, and the tasks that it keeps running are
// gone within the cancellation deadline, counted from the last moment at which it knew of all
// cancellations. With a margin of 4 s and heartbeats at arbitrary times, 277 machines were given up
// one second before their zone was connected again.
func TestLeaseGracePeriodIsUsedInFullAndNotExceeded(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		w := bed.workers.Add("m1", "box", "a")
		for range 3 {
			n.sendHeartbeat(w)
			time.Sleep(time.Second)
		}
		bed.state.SetOutage(true, false)
		outageStart := time.Now()  // cancellations may be written from now on
		var lastAnswered time.Time // when the last answered heartbeat was sent
		var lastToken uint64
		nextHeartbeat := time.Now()
		for time.Since(outageStart) < cancelDeadline {
			var token uint64
			bed.workers.WithLock(func() { token = w.Heartbeat.FencingToken })
			// Workers send heartbeats at intervals, and within half a second of a higher token.
			if time.Now().After(nextHeartbeat) || token > lastToken {
				lastToken, nextHeartbeat = token, time.Now().Add(8*time.Second)
				if n.sendHeartbeat(w).Accepted {
					lastAnswered = time.Now()
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		leaseEnd := lastAnswered.Add(settings().Workers.LeaseDuration).Sub(outageStart)
		if leaseEnd > cancelDeadline {
			t.Errorf("tasks are gone %v after the state service was lost, want at most %v", leaseEnd, cancelDeadline)
		}
		if leaseEnd < cancelDeadline-5*time.Second {
			t.Errorf("leases expire after %v, want at most 5s before %v", leaseEnd, cancelDeadline)
		}
	})
}

// Machines whose owner was in another zone were lost 34 s after their zone was cut off. The worker
// of a new machine is therefore redirected to a controller of its zone. If that controller does not
// claim the machine, the next controller that it reports to does.
func TestNewMachineIsRedirectedToOwnerInItsZone(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a := bed.startNodeInZone("host-0", "a")
		b := bed.startNodeInZone("host-1", "b")
		time.Sleep(2 * time.Second)
		w := bed.workers.Add("m1", "box", "b")
		heartbeat := bed.workers.NextHeartbeat(w)
		if reply := a.agent.Heartbeat(bed.ctx, &heartbeat); reply.Accepted || reply.RedirectTo != "host-1" {
			t.Fatalf("heartbeat to another zone's controller: got %+v, want a redirect to host-1", reply)
		}
		heartbeat = bed.workers.NextHeartbeat(w)
		if reply := b.agent.Heartbeat(bed.ctx, &heartbeat); !reply.Accepted {
			t.Fatalf("heartbeat to the zone's own controller: got %+v, want it answered", reply)
		}
		w = bed.workers.Add("m2", "box", "b")
		for range 4 { // host-1 does not receive its heartbeats
			heartbeat = bed.workers.NextHeartbeat(w)
			a.agent.Heartbeat(bed.ctx, &heartbeat)
			time.Sleep(time.Second)
		}
		if _, ok := a.entries()["m2"]; !ok {
			t.Fatal("got no owner for a machine that its zone's controller does not claim, want host-0")
		}
	})
}

// When an owner crashes, its shards go to controllers of their zone. Shards with unresponsive or
// unreconciled machines are not rebalanced: under a new owner the wait for the machines' leases
// would begin again, and the reconciliation of job shards would wait as long.
func TestShardsStayInZoneAndUnreconciledShardsAreNotMoved(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		a := bed.startNodeInZone("host-0", "a")
		var workers []*emulator.Worker
		for i := range 40 {
			w := bed.workers.Add(fmt.Sprint("m", i), "box", "a")
			workers = append(workers, w)
			go a.sendHeartbeat(w)
		}
		time.Sleep(4 * time.Second)
		for _, w := range workers {
			go a.sendHeartbeat(w)
		}
		setUnreconciled := func(a *clusteragent.Agent) {
			a.LastEntry = func(m string) agentapi.MachineEntry { return agentapi.MachineEntry{Machine: m, Settled: false} }
		}
		c := bed.startNodeInZone("host-2", "a", setUnreconciled)
		b := bed.startNodeInZone("host-1", "b", setUnreconciled)
		time.Sleep(25 * time.Second)
		if n := len(b.entries()) + len(c.entries()); n != 0 {
			t.Fatalf("got %d unreconciled machines rebalanced, want 0", n)
		}
		a.stop()
		if err := bed.state.Revoke(bed.ctx, 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if inOtherZone, inOwnZone := len(b.entries()), len(c.entries()); inOtherZone != 0 || inOwnZone != 40 {
			t.Fatalf("got %d machines at the other zone's controller and %d at their own zone's, want 0 and 40", inOtherZone, inOwnZone)
		}
		if kv, _ := c.mirror.Get(statekv.MachinePrefix + "m0"); shard.ParseMachineRecord(kv) == nil {
			t.Fatal("key of machine m0 is missing or undecodable")
		}
	})
}
