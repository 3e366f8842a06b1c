package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
)

// The state service responds slowly, then rejects one controller, and then is down for all
// controllers for longer than the cancellation deadline, while users submit, cancel and query. No
// controller may report an older status, and every query must be answered soon after the outage.
func TestStateServiceDegradesUntilOutage(t *testing.T) {
	for _, slow := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 1900 * time.Millisecond} {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 16, func(b *testbed) {
				var ids []string
				for k := range 9 {
					s := arrayJob(b.nextJobID(), 1+k%2)
					ids = append(ids, s.ID)
					go b.submit("", s, time.Duration(20+20*k)*time.Second)
				}
				time.Sleep(20 * time.Second)
				b.setStateFaults(slow, 0)
				go b.cancel("", ids[0])
				time.Sleep(15 * time.Second)
				b.stateClient("host-0").SetRejectAll(true)
				go b.cancel("", ids[1])
				time.Sleep(3 * time.Second)
				b.state.SetOutage(true, false)
				go b.cancel("", ids[2])
				time.Sleep(workers.CancellationDeadline + 20*time.Second)
				b.state.SetOutage(false, false)
				b.stateClient("host-0").SetRejectAll(false)
				b.setStateFaults(0, 0)
				b.history.RecordFaultsEnded()
				time.Sleep(30 * time.Second)
				if id := b.history.UnansweredJob(30 * time.Second); id != "" {
					b.t.Errorf("no query about %s was answered for 30 s", id)
				}
				time.Sleep(5 * time.Minute)
				b.history.CheckFinalState()
				b.checkNoViolations()
			})
		})
	}
}

// During a long outage of the state service owners stop answering their workers, and the workers
// turn to other controllers. This does not show that the owner is unreachable, so every shard must
// still belong to its owner afterwards. On a cluster, all shards were swapped between two running
// owners, and each machine had to be reconciled again.
func TestOutageMovesNoShards(t *testing.T) {
	runScenario(t, 18, func(b *testbed) {
		for k, h := range b.hosts {
			for range 4 {
				go b.submit(h, inZone(zones[k], arrayJob(b.nextJobID(), 2)), 10*time.Minute)
			}
		}
		time.Sleep(40 * time.Second)
		before := strings.Split(b.shardOwners(), "; ")
		b.state.SetOutage(true, false)
		time.Sleep(80 * time.Second)
		b.state.SetOutage(false, false)
		time.Sleep(10 * time.Second)
		after := b.shardOwners()
		for _, shard := range before {
			if !strings.Contains(after, shard) {
				b.t.Errorf("machine shard %q changed: the shards are now %s", shard, after)
			}
		}
		b.checkNoViolations()
	})
}

// The state service is down for all controllers for longer than the lease grace period. All
// controllers reach each other and confirm that they have acknowledged no cancellation since, so no
// machine may lose its tasks.
func TestLongOutageSeenByAllLosesNoTask(t *testing.T) {
	runScenario(t, 19, func(b *testbed) {
		var ids []string
		for k, h := range b.hosts {
			s := inZone(zones[k], arrayJob(b.nextJobID(), 2))
			ids = append(ids, s.ID)
			go b.submit(h, s, 4*time.Minute)
		}
		time.Sleep(30 * time.Second)
		for range 2 {
			b.state.SetOutage(true, false)
			time.Sleep(workers.CancellationDeadline + 40*time.Second)
			for _, id := range ids {
				if b.history.TasksOnMachines(id) != 2 {
					b.t.Errorf("%d tasks of %s are on machines after the outage, want 2",
						b.history.TasksOnMachines(id), id)
				}
			}
			b.state.SetOutage(false, false)
			time.Sleep(10 * time.Second)
		}
		time.Sleep(2 * time.Minute)
		if n := b.history.TaskStarts(); n != 6 {
			b.t.Errorf("starts of six tasks: got %d, want 6", n)
		}
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}

// In a long outage, one controller cannot be asked, has crashed, or has restarted without a
// session. It may have acknowledged a cancellation, so owners must stop renewing worker leases at
// the end of the lease grace period, and the tasks of cancelled jobs must stop in time. In the case
// "not shown by watches", the acknowledging controller knows of the cancellation only from its own
// write: no watch has shown it to any controller when the outage begins.
func TestLongOutageWithPossibleAcknowledgement(t *testing.T) {
	for name, isolate := range map[string]func(b *testbed){
		"partitioned from peers": func(b *testbed) { b.network.setPartitioned("host-2", true) },
		"crashed":                func(b *testbed) { b.crash("host-2") },
		"restarted without a session": func(b *testbed) {
			b.crash("host-2")
			time.Sleep(200 * time.Millisecond)
			b.start("host-2")
		},
		"not shown by watches": func(b *testbed) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 20, func(b *testbed) {
				s := b.startRunningJob("host-0", "a", job.Array)
				b.setWatchLag(5 * time.Second)
				time.Sleep(7 * time.Second)
				if !b.cancelPromptly("host-2", s.ID) {
					b.t.Fatal("the cancellation was not acknowledged")
				}
				b.state.SetOutage(true, false)
				isolate(b)
				time.Sleep(workers.CancellationDeadline + 40*time.Second)
				b.t.Logf("tasks stopped %v after the acknowledgement", b.history.TimesToStopAfterCancel())
				b.checkNoViolations()
				b.state.SetOutage(false, false)
				b.network.setPartitioned("host-2", false)
				b.setWatchLag(0)
				time.Sleep(20 * time.Second)
				b.checkNoViolations()
			})
		})
	}
}

// A controller acquires the machine shards of a crashed owner after a job on them was cancelled.
// From then on the state service is down, so nothing tells the new owner whether the tasks on its
// machines may continue. The tasks must stop in time.
func TestNewOwnerDuringOutageStopsCancelledJob(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			runScenario(t, 6, func(b *testbed) {
				s := b.startRunningJob("host-0", "a", job.Array)
				b.crash("host-0")
				if !b.cancel("host-2", s.ID) {
					b.t.Fatal("the cancellation was not acknowledged")
				}
				for end := time.Now().Add(20 * time.Second); b.ownsShards("host-0"); time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						b.t.Fatal("the shards of the crashed owner were not acquired within 20 s")
					}
				}
				time.Sleep(after)
				b.state.SetOutage(true, false)
				time.Sleep(workers.CancellationDeadline + 40*time.Second)
				b.state.SetOutage(false, false)
				time.Sleep(20 * time.Second)
				b.t.Logf("tasks stopped %v after the acknowledgement", b.history.TimesToStopAfterCancel())
				b.checkNoViolations()
			})
		})
	}
}
