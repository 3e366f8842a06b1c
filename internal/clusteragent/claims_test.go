package clusteragent_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
)

// Claims that meet a conflict, because another controller was faster for some
// of the machines, ended the process: the rest must be claimed.
func TestRemainingClaimsSurviveAConflict(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		w1, w2 := workers.Add("m1", "box", "a"), workers.Add("m2", "box", "a")
		state.SetOutage(false, true) // claims are written, but their answers are lost
		go n.sendHeartbeat(workers, w1)
		go n.sendHeartbeat(workers, w2)
		synctest.Wait()
		state.SetOutage(false, false)
		time.Sleep(3 * time.Second)
		n.sendHeartbeat(workers, w1)
		n.sendHeartbeat(workers, w2)
		if len(n.entries()) != 2 {
			t.Fatalf("machines %v", n.entries())
		}
	})
}

// A machine that was deleted and whose late heartbeat another controller met is
// given up once more: that must not end the process.
func TestDeletedMachineClaimedElsewhereIsReleased(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n, other := startNode(t, ctx, "host-0", state, workers), startNode(t, ctx, "host-1", state, workers)
		w := workers.Add("m1", "box", "a")
		n.sendHeartbeat(workers, w)
		time.Sleep(time.Second)
		var reply agentapi.MachinesReply
		if err := n.service.Removed(agentapi.MachinesRequest{Names: []string{"m1"}}, &reply); err != nil || len(reply.Names) != 1 {
			t.Fatal(err, reply)
		}
		time.Sleep(time.Second)
		other.sendHeartbeat(workers, w)
		time.Sleep(2 * time.Second)
		if len(n.entries()) != 0 || len(other.entries()) != 1 {
			t.Fatal("the late heartbeat belongs to the other controller now")
		}
	})
}

// A claim that was written although its answer was lost is taken up even if the
// worker never sends a heartbeat again: until somebody looks after the machine, no job shard
// that is adopted can be reconciled.
func TestClaimWithLostAnswerIsAdopted(t *testing.T) {
	runScenario(t, func(t *testing.T, ctx context.Context, state *emulator.StateService, workers *emulator.Workers) {
		n := startNode(t, ctx, "host-0", state, workers)
		w := workers.Add("m1", "box", "a")
		state.SetOutage(false, true)
		go n.sendHeartbeat(workers, w)
		synctest.Wait()
		state.SetOutage(false, false)
		time.Sleep(5 * time.Second)
		if e, ok := n.entries()["m1"]; !ok || !e.Settled {
			t.Fatalf("nobody looks after the machine: %+v", e)
		}
	})
}
