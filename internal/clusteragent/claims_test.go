package clusteragent_test

import (
	"testing"
	"testing/synctest"
	"time"

	"robinstack/internal/agentapi"
)

// A batch of claims in which another controller has already claimed some of the machines must not
// end the process, and the remaining machines must be claimed.
func TestClaimConflictKeepsRemainingClaims(t *testing.T) {
	runScenario(t, func(t *testing.T, bed *testbed) {
		n := bed.startNode("host-0")
		w1, w2 := bed.workers.Add("m1", "box", "a"), bed.workers.Add("m2", "box", "a")
		bed.state.SetOutage(false, true) // claims are written, but their replies are lost
		go n.sendHeartbeat(w1)
		go n.sendHeartbeat(w2)
		synctest.Wait()
		bed.state.SetOutage(false, false)
		time.Sleep(3 * time.Second)
		n.sendHeartbeat(w1)
		n.sendHeartbeat(w2)
		if len(n.entries()) != 2 {
			t.Fatalf("got machines %v, want m1 and m2", n.entries())
		}
	})
}

// A deleted machine is released once more if another controller claims it because of a late
// heartbeat. Releasing a deregistered machine must not end the process.
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
			t.Fatal("after the late heartbeat: want the machine owned by host-1 only")
		}
	})
}

// A claim that was written although its reply was lost is adopted even if the worker never sends
// another heartbeat. As long as no controller manages the machine, no job shard that is taken over
// can be reconciled.
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
			t.Fatalf("got entry %+v, want the machine owned and reconciled", e)
		}
	})
}
