package clusteragent_test

import (
	"testing"
	"testing/synctest"
	"time"

	"robinstack/internal/agentapi"
)

// Claims that meet a conflict, because another controller was faster for some
// of the machines, ended the process: the rest must be claimed.
func TestRemainingClaimsSurviveAConflict(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		w1, w2 := bed.workers.Add("m1", "box", "a"), bed.workers.Add("m2", "box", "a")
		bed.state.SetOutage(false, true) // claims are written, but their answers are lost
		go n.sendHeartbeat(w1)
		go n.sendHeartbeat(w2)
		synctest.Wait()
		bed.state.SetOutage(false, false)
		time.Sleep(3 * time.Second)
		n.sendHeartbeat(w1)
		n.sendHeartbeat(w2)
		if len(n.entries()) != 2 {
			t.Fatalf("machines %v", n.entries())
		}
	})
}

// A machine that was deleted and whose late heartbeat another controller met is
// given up once more: that must not end the process.
func TestDeletedMachineClaimedElsewhereIsReleased(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n, other := bed.startNode("host-0"), bed.startNode("host-1")
		w := bed.workers.Add("m1", "box", "a")
		n.sendHeartbeat(w)
		time.Sleep(time.Second)
		var reply agentapi.MachinesReply
		if err := n.service.Removed(agentapi.MachinesRequest{Names: []string{"m1"}}, &reply); err != nil || len(reply.Names) != 1 {
			t.Fatal(err, reply)
		}
		time.Sleep(time.Second)
		other.sendHeartbeat(w)
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
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		w := bed.workers.Add("m1", "box", "a")
		bed.state.SetOutage(false, true)
		go n.sendHeartbeat(w)
		synctest.Wait()
		bed.state.SetOutage(false, false)
		time.Sleep(5 * time.Second)
		if e, ok := n.entries()["m1"]; !ok || !e.Settled {
			t.Fatalf("nobody looks after the machine: %+v", e)
		}
	})
}
