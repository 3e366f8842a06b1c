package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// crashWithUnresponsiveMachine lets host-0 place one job in zone a and one in any zone, makes the
// machine in zone b unresponsive and crashes host-0.
func crashWithUnresponsiveMachine(cluster *testCluster) (survivor *testController, unresponsive *emulator.Worker) {
	first := cluster.start("host-0")
	cluster.advance(3 * time.Second)
	survivor = cluster.start("host-1")
	cluster.advance(3 * time.Second)
	zone := "a"
	zoneJob := newSpec("wk-1", job.Array, 4, 1)
	zoneJob.Zone = &zone
	cluster.submit(first, zoneJob)
	cluster.advance(2 * time.Second)
	cluster.submit(first, newSpec("wk-2", job.Array, 4, 1))
	cluster.advance(4 * time.Second)
	if cluster.countStarts("wk-1") != 2 || cluster.countStarts("wk-2") != 2 {
		cluster.t.Fatalf("got %d and %d started tasks, want 2 and 2",
			cluster.countStarts("wk-1"), cluster.countStarts("wk-2"))
	}
	unresponsive = cluster.machines[1]
	cluster.workers.WithLock(func() { unresponsive.HoldCommands = true })
	cluster.machines = cluster.machines[:1]
	cluster.crash(first, 1)
	return survivor, unresponsive
}

// After a scheduler crash, one unresponsive machine delayed all jobs of the scheduler, also those
// that are not eligible for the machine. Only a job that may have tasks on it has to wait until
// these have certainly ended; otherwise they would run twice.
func TestUnresponsiveMachineBlocksOnlyEligibleJobs(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		crashWithUnresponsiveMachine(cluster)
		cluster.advance(8 * time.Second)
		cluster.exitAllTasks(worker.CauseDone) // the two tasks of wk-1 on the responsive machine
		cluster.advance(8 * time.Second)
		if n := cluster.countStarts("wk-1"); n != 4 {
			t.Fatalf("got %d starts of the job that is not eligible for the unresponsive machine, want 4", n)
		}
		if n := cluster.countStarts("wk-2"); n != 0 {
			t.Fatalf("got %d starts of the job that may have tasks on the unresponsive machine, want 0", n)
		}
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(90 * time.Second)
		if n := cluster.countStarts("wk-2"); n != 2 {
			t.Fatalf("got %d starts after the lease of the unresponsive machine expired, want 2", n)
		}
	})
}

// Reconciliation of a job shard does not wait for machines that were first claimed after its
// acquisition: their owners reject commits of the earlier scheduler. Otherwise machines that keep
// joining would delay it.
func TestReconciliationIgnoresMachinesClaimedLater(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		second, unresponsive := crashWithUnresponsiveMachine(cluster)
		cluster.advance(4 * time.Second)
		joining := cluster.workers.Add("m3", "box", "a")
		cluster.workers.WithLock(func() { joining.HoldCommands, unresponsive.HoldCommands = true, false })
		heartbeat := cluster.workers.NextHeartbeat(joining)
		second.agent.Heartbeat(cluster.ctx, &heartbeat) // claimed by its first heartbeat; sends no further ones
		cluster.machines = append(cluster.machines, unresponsive)
		cluster.advance(3 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(6 * time.Second)
		if n := cluster.countStarts("wk-2"); n != 4 {
			t.Fatalf("got %d starts while a later claimed machine is unconfirmed, want 4", n)
		}
	})
}

// Invariant ran_twice: a busy process confirms a machine before its scheduler knows what the entry lists.
func TestTakeoverDoesNotRestartTasksOfUnappliedEntries(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		cluster.machines = append(cluster.machines, cluster.workers.Add("m3", "box", "a"))
		first := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		zone := "a"
		zoneJob := newSpec("wk-1", job.Array, 2, 1)
		zoneJob.Zone = &zone
		cluster.submit(first, zoneJob)
		cluster.advance(4 * time.Second)
		if n := cluster.countStarts("wk-1"); n != 2 {
			t.Fatalf("got %d starts before the crash, want 2", n)
		}
		unresponsive := cluster.machines[1]
		cluster.workers.WithLock(func() { unresponsive.HoldCommands = true })
		cluster.machines = []*emulator.Worker{cluster.machines[0], cluster.machines[2]}
		cluster.entryDelay = 2 * time.Second
		cluster.crash(first, 1)
		cluster.start("host-1")
		cluster.advance(15 * time.Second)
		if n := cluster.countStarts("wk-1"); n != 2 {
			t.Fatalf("got %d starts of 2 tasks that were running during the takeover, want 2", n)
		}
	})
}

// Every controller crash left a job shard and machine shards behind forever, and the next crash had
// to take them over one by one. After the job shard's key is removed, delayed writes of its earlier
// scheduler must still fail.
func TestEmptyShardsAreRemovedAfterCrashes(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		for i := range 20 {
			zone := []string{"a", "b"}[i%2]
			cluster.machines = append(cluster.machines, cluster.workers.Add(fmt.Sprintf("n%d", i), "box", zone))
		}
		lease := uint64(0)
		var firstEpoch uint64
		for round := range 4 {
			first, second := cluster.start("host-0"), cluster.start("host-1")
			cluster.advance(45 * time.Second)
			cluster.submit(first, newSpec(fmt.Sprintf("wk-%d", round), job.Array, 2, 1))
			cluster.advance(4 * time.Second)
			if round == 0 {
				_, firstEpoch, _ = first.scheduler.OwnJobShard()
			}
			cluster.crash(first, lease+1)
			cluster.crash(second, lease+2)
			lease += 2
			cluster.advance(time.Second)
		}
		first, second := cluster.start("host-0"), cluster.start("host-1")
		cluster.advance(5 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(20 * time.Second)
		if jobShards := cluster.state.ListAll(statekv.JobShardPrefix); len(jobShards) != 2 {
			t.Errorf("got %d job shards for two controllers, want 2", len(jobShards))
		}
		if machineShards := cluster.state.ListAll(statekv.MachineShardPrefix); len(machineShards) > 12 {
			t.Errorf("got %d machine shards for two controllers in two zones, want at most 12", len(machineShards))
		}
		for _, controller := range []*testController{first, second} {
			if _, entries := controller.agent.Snapshot(); len(entries) == 0 {
				t.Errorf("%s owns %d of 22 machines, want at least 1", controller.host, len(entries))
			}
		}
		staleCompares := []statekv.Compare{{Key: statekv.JobShardPrefix + "host-0.2", Rev: firstEpoch}}
		if _, err := cluster.state.Txn(cluster.ctx, staleCompares, nil); !statekv.IsConflict(err) {
			t.Errorf("delayed write of the first scheduler: got error %v, want a conflict", err)
		}
	})
}

// In an idle cluster, agents were asked only every 2 s whether they knew the new epoch, and the
// reconciliation of a job shard took two such intervals. It must take less than a second.
func TestIdleJobShardReconcilesWithinOneSecond(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		cluster.start("host-1") // owns the machines
		cluster.advance(3 * time.Second)
		first := cluster.start("host-0")
		cluster.advance(6 * time.Second)
		shardID, _, _ := first.scheduler.OwnJobShard()
		cluster.crash(first, 2)
		record := job.Record{Spec: newSpec("wk-1", job.Array, 4, 1), JobShard: shardID} // accepted but not placed yet
		cluster.put(statekv.Op{Set: job.RecordKey("wk-1"), Value: record})
		time.Sleep(time.Second)
		if n := cluster.countStarts("wk-1"); n != 4 {
			t.Fatalf("got %d starts within a second after the crash, want 4", n)
		}
	})
}

// Invariant ran_twice: a start command of the crashed owner reaches an eligible machine only after
// the job shard was acquired by another controller.
func TestLateStartOnUnresponsiveMachineIsNotRepeated(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		first := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.start("host-1")
		cluster.advance(3 * time.Second)
		cluster.workers.WithLock(func() {
			for _, machine := range cluster.machines {
				machine.HoldCommands = true // heartbeats get through, commands are held
			}
		})
		cluster.submit(first, newSpec("wk-1", job.Array, 1, 1))
		time.Sleep(time.Second)
		cluster.crash(first, 1)
		machines := cluster.machines
		cluster.machines = nil
		cluster.advance(6 * time.Second)
		for _, machine := range machines {
			cluster.workers.DeliverHeldCommands(machine)
			cluster.workers.WithLock(func() { machine.HoldCommands = false })
		}
		cluster.machines = machines
		cluster.advance(8 * time.Second)
		if n := cluster.countStarts("wk-1"); n != 1 {
			t.Fatalf("got %d starts, want 1", n)
		}
		var onMachines []string
		for _, entry := range allEntries(cluster) {
			for _, task := range entry.Tasks {
				onMachines = append(onMachines, entry.Machine+" "+task.State)
			}
		}
		if len(onMachines) != 1 {
			t.Fatalf("got tasks %v on machines, want one", onMachines)
		}
	})
}

// Invariant ran_twice: a running job whose record could not be read at the takeover is rewritten and taken for a new one.
func TestRewrittenJobOfAcquiredShardIsNotTakenForNew(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		first := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.submit(first, newSpec("wk-1", job.Array, 1, 2))
		cluster.advance(3 * time.Second)
		kv, err := cluster.state.Get(cluster.ctx, job.RecordKey("wk-1"))
		if err != nil {
			t.Fatal(err)
		}
		cluster.put(statekv.Op{Set: kv.Key, Value: map[string]int{"form": job.RecordSchema + 1}})
		cluster.crash(first, 1)
		cluster.start("host-1")
		cluster.advance(4 * time.Second)
		cluster.put(statekv.Op{Set: kv.Key, Value: kv.Value})
		checker := newInvariantChecker(cluster)
		for range 10 {
			cluster.advance(time.Second)
			checker.checkRunsOnce()
		}
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(5 * time.Second)
		if cluster.finalStatus("wk-1") != job.Done {
			t.Errorf("got final status %q, want %q", cluster.finalStatus("wk-1"), job.Done)
		}
	})
}
