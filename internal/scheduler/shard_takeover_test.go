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

// crashWithUnresponsiveMachine has host-0 place a job of zone a and one of any zone, has
// the machine of zone b lose its commands and crashes host-0.
func crashWithUnresponsiveMachine(cluster *testCluster) (survivor *testController, unresponsive *emulator.Worker) {
	first := cluster.start("host-0")
	cluster.advance(3 * time.Second)
	survivor = cluster.start("host-1")
	cluster.advance(3 * time.Second)
	zone := "a"
	local := newSpec("wk-1", job.Array, 4, 1)
	local.Zone = &zone
	cluster.submit(first, local)
	cluster.advance(2 * time.Second)
	cluster.submit(first, newSpec("wk-2", job.Array, 4, 1))
	cluster.advance(4 * time.Second)
	if cluster.countStarts("wk-1") != 2 || cluster.countStarts("wk-2") != 2 {
		cluster.t.Fatalf("%d and %d tasks started", cluster.countStarts("wk-1"), cluster.countStarts("wk-2"))
	}
	unresponsive = cluster.machines[1]
	cluster.workers.WithLock(func() { unresponsive.HoldCommands = true })
	cluster.machines = cluster.machines[:1]
	cluster.crash(first, 1)
	return survivor, unresponsive
}

// A machine that does not answer held up every job of a crashed scheduler, also
// those that it is not allowed to have. A job that it may have waits until its
// tasks there are certainly over: or they would run twice.
func TestUnresponsiveMachineBlocksOnlyJobsItMayHave(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		crashWithUnresponsiveMachine(cluster)
		cluster.advance(8 * time.Second)
		cluster.exitAllTasks(worker.CauseDone) // the two of wk-1 that run on the machine that answers
		cluster.advance(8 * time.Second)
		if n := cluster.countStarts("wk-1"); n != 4 {
			t.Fatalf("%d of 4 tasks started that the unresponsive machine cannot have", n)
		}
		if n := cluster.countStarts("wk-2"); n != 0 {
			t.Fatalf("%d starts elsewhere of a job whose tasks the unresponsive machine may have", n)
		}
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(90 * time.Second)
		if n := cluster.countStarts("wk-2"); n != 2 {
			t.Fatalf("%d starts after the unresponsive machine's lease", n)
		}
	})
}

// Machines come up all the time. One that was claimed first after the job shard was acquired
// has an owner that refuses the earlier scheduler's commits, so a job shard does not wait
// until it is confirmed too.
func TestReconciliationIgnoresYoungerMachines(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		second, unresponsive := crashWithUnresponsiveMachine(cluster)
		cluster.advance(4 * time.Second)
		young := cluster.workers.Add("m3", "box", "a")
		cluster.workers.WithLock(func() { young.HoldCommands, unresponsive.HoldCommands = true, false })
		r := cluster.workers.NextHeartbeat(young)
		second.agent.Heartbeat(cluster.ctx, &r) // claimed, and no heartbeat after that
		cluster.machines = append(cluster.machines, unresponsive)
		cluster.advance(3 * time.Second)
		cluster.exitAllTasks(worker.CauseDone)
		cluster.advance(6 * time.Second)
		if n := cluster.countStarts("wk-2"); n != 4 {
			t.Fatalf("%d of 4 tasks started while a younger machine is unconfirmed", n)
		}
	})
}

// Every crash left a job shard and machine shards behind for good, and the next crash had to
// take them over one by one. What a job shard's earlier scheduler wrote late must fail
// although the job shard's key is gone.
func TestCrashesLeaveNoShardsBehind(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		for i := range 20 {
			zone := []string{"a", "b"}[i%2]
			cluster.machines = append(cluster.machines, cluster.workers.Add(fmt.Sprintf("n%d", i), "box", zone))
		}
		lease := uint64(0)
		var epoch uint64
		for round := range 4 {
			first, second := cluster.start("host-0"), cluster.start("host-1")
			cluster.advance(45 * time.Second)
			cluster.submit(first, newSpec(fmt.Sprintf("wk-%d", round), job.Array, 2, 1))
			cluster.advance(4 * time.Second)
			if round == 0 {
				_, epoch, _ = first.scheduler.OwnJobShard()
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
			t.Errorf("%d job shards for two controllers", len(jobShards))
		}
		if shards := cluster.state.ListAll(statekv.MachineShardPrefix); len(shards) > 12 {
			t.Errorf("%d machine shards for two controllers in two zones", len(shards))
		}
		for _, controller := range []*testController{first, second} {
			if _, entries := controller.agent.Snapshot(); len(entries) == 0 {
				t.Errorf("%s came back with %d of 22 machines", controller.host, len(entries))
			}
		}
		old := []statekv.Compare{{Key: statekv.JobShardPrefix + "host-0.2", Rev: epoch}}
		if _, err := cluster.state.Txn(cluster.ctx, old, nil); !statekv.IsConflict(err) {
			t.Errorf("a late write of the first scheduler: %v", err)
		}
	})
}

// Where nothing changes, agents were asked again only after 2 s whether they knew of
// the new epoch, and twice that passed before job shards were reconciled.
func TestIdleJobShardsReconcileAtOnce(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		cluster.start("host-1") // owns the machines
		cluster.advance(3 * time.Second)
		first := cluster.start("host-0")
		cluster.advance(6 * time.Second)
		shardID, _, _ := first.scheduler.OwnJobShard()
		cluster.crash(first, 2)
		record := job.Record{Spec: newSpec("wk-1", job.Array, 4, 1), JobShard: shardID} // accepted, and not placed yet
		cluster.put(statekv.Op{Set: job.RecordKey("wk-1"), Value: record})
		time.Sleep(time.Second)
		if n := cluster.countStarts("wk-1"); n != 4 {
			t.Fatalf("%d of 4 tasks started a second after the crash", n)
		}
	})
}

// Guards against ran_twice: a start that the crashed owner had sent arrives at a
// machine that the job is allowed to use only after the job shard was acquired.
func TestLateStartOnUnresponsiveMachineIsNotRepeated(t *testing.T) {
	runScenario(t, func(cluster *testCluster) {
		first := cluster.start("host-0")
		cluster.advance(3 * time.Second)
		cluster.start("host-1")
		cluster.advance(3 * time.Second)
		cluster.workers.WithLock(func() {
			for _, machine := range cluster.machines {
				machine.HoldCommands = true // reports get through, commands are held
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
			t.Fatalf("the task was started %d times", n)
		}
		var ran []string
		for _, e := range allEntries(cluster) {
			for _, task := range e.Tasks {
				ran = append(ran, e.Machine+" "+task.State)
			}
		}
		if len(ran) != 1 {
			t.Fatalf("on machines: %v", ran)
		}
	})
}
