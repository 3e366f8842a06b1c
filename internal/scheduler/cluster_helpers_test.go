package scheduler_test

import (
	"strings"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/scheduler"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// newSpec returns the spec of a job with small tasks that fit on any machine.
func newSpec(id, shape string, tasks int, gpus float64) job.Spec {
	return job.Spec{
		ID:    id,
		Class: "c",
		Team:  "t",
		Shape: shape,
		Rank:  "normal",
		Tasks: tasks,
		Need:  job.Resources{CPUs: 1, GPUs: gpus, MemoryGB: 1},
		Image: "i",
		Spot:  true,
	}
}

func withGPUs(spec job.Spec, gpus float64) job.Spec {
	spec.GPUs = gpus
	return spec
}

// dependentSpec returns the spec of a job with one small task that depends on other jobs.
func dependentSpec(id string, dependencies ...string) job.Spec {
	spec := newSpec(id, job.Array, 1, 0)
	spec.WaitsOn = dependencies
	return spec
}

// submit has a controller accept a job, as the gateway does.
func (cluster *testCluster) submit(controller *testController, spec job.Spec) {
	cluster.t.Helper()
	shardID, _, ok := controller.scheduler.OwnJobShard()
	if !ok {
		cluster.t.Fatal("controller has no own job shard")
	}
	record := &job.Record{Spec: spec, JobShard: shardID, SubmittedMS: time.Now().UnixMilli()}
	key := job.RecordKey(spec.ID)
	rev, err := controller.session.Write(cluster.ctx, []statekv.Compare{{Key: key}},
		[]statekv.Op{{Set: key, Value: record}})
	if err != nil {
		cluster.t.Fatal(err)
	}
	controller.scheduler.OnJobAccepted(record, rev)
}

// cancel records the cancellation of a job, as the gateway does.
func (cluster *testCluster) cancel(id string) {
	cluster.t.Helper()
	kv, err := cluster.state.Get(cluster.ctx, job.RecordKey(id))
	if err != nil {
		cluster.t.Fatal(err)
	}
	compares := []statekv.Compare{{Key: kv.Key, Rev: kv.Rev}}
	if _, err := cluster.state.Txn(cluster.ctx, compares, cancellation(id, 1)); err != nil {
		cluster.t.Fatal(err)
	}
}

// recordRevision returns the revision of a job's record.
func (cluster *testCluster) recordRevision(id string) uint64 {
	cluster.t.Helper()
	kv, err := cluster.state.Get(cluster.ctx, job.RecordKey(id))
	if err != nil {
		cluster.t.Fatal(err)
	}
	return kv.Rev
}

// legacyTombstone returns the operations that write a job's tombstone in the legacy format.
func legacyTombstone(id, status string, tasks int) []statekv.Op {
	return tombstone.WriteOps(id, tombstone.Tombstone{Status: status, Tasks: tasks}, tombstone.LegacyOnly)
}

// cancellation returns the operations that replace a job's record by its tombstone.
func cancellation(id string, tasks int) []statekv.Op {
	return append(legacyTombstone(id, job.Cancelled, tasks), statekv.Op{Delete: job.RecordKey(id)})
}

// put writes keys directly to the state service, without a controller.
func (cluster *testCluster) put(ops ...statekv.Op) {
	cluster.t.Helper()
	if _, err := cluster.state.Txn(cluster.ctx, nil, ops); err != nil {
		cluster.t.Fatal(err)
	}
}

// setClusterVersion stores a cluster version that enables the features.
func (cluster *testCluster) setClusterVersion(features ...rollout.Feature) {
	cluster.t.Helper()
	version := rollout.ClusterVersion{Schema: 1, Number: len(features), Features: features}
	cluster.put(statekv.Op{Set: statekv.ClusterVersionKey, Value: version})
}

// enableDependencies stores a cluster version that enables dependencies between jobs.
func (cluster *testCluster) enableDependencies() {
	cluster.setClusterVersion(rollout.FeatureVersionGate, rollout.FeatureDependencies)
}

// exitAllTasks lets all tasks on machines exit with the cause.
func (cluster *testCluster) exitAllTasks(cause string) {
	var ids []string
	cluster.workers.WithLock(func() {
		for _, machine := range cluster.machines {
			for _, t := range machine.Heartbeat.Tasks {
				ids = append(ids, t.ID)
			}
		}
	})
	for _, machine := range cluster.machines {
		for _, id := range ids {
			cluster.workers.EndTask(machine, id, cause)
		}
	}
}

// finalStatus returns the status in a job's tombstone, or "".
func (cluster *testCluster) finalStatus(id string) string {
	stored, err := tombstone.Read(cluster.ctx, cluster.state, nil, id)
	if err != nil {
		return ""
	}
	return stored.Status
}

// startCounts returns how often each task was started, by task ID.
func (cluster *testCluster) startCounts() map[string]int {
	counts := map[string]int{}
	cluster.workers.WithLock(func() {
		for _, machine := range cluster.machines {
			for _, task := range machine.Started {
				counts[task]++
			}
		}
	})
	return counts
}

// countStarts returns how many start commands for a job's tasks were executed.
func (cluster *testCluster) countStarts(id string) (n int) {
	for task, starts := range cluster.startCounts() {
		if strings.HasPrefix(task, id+"/") {
			n += starts
		}
	}
	return n
}

// wasStarted reports whether the first task of the job was ever started.
func (cluster *testCluster) wasStarted(id string) bool { return cluster.startCounts()[id+"/0"] > 0 }

// wasStartedOn reports whether a task was started on the machine with the given index.
func (cluster *testCluster) wasStartedOn(machine int, task string) (started bool) {
	cluster.workers.WithLock(func() {
		for _, startedTask := range cluster.machines[machine].Started {
			started = started || startedTask == task
		}
	})
	return started
}

// countTasks returns the number of tasks on machines, including exited ones.
func (cluster *testCluster) countTasks() (n int) {
	cluster.workers.WithLock(func() {
		for _, machine := range cluster.machines {
			n += len(machine.Heartbeat.Tasks)
		}
	})
	return n
}

// allEntries returns the machine entries of all running controllers.
func allEntries(cluster *testCluster) (entries []agentapi.MachineEntry) {
	for _, host := range hosts {
		if controller := cluster.controller(host); controller != nil {
			_, snapshot := controller.agent.Snapshot()
			entries = append(entries, snapshot...)
		}
	}
	return entries
}

// waitingJobs returns the waiting jobs of a controller by ID, as its status shows them.
func (controller *testController) waitingJobs(cluster *testCluster) map[string]scheduler.WaitingJob {
	cluster.t.Helper()
	var list []scheduler.WaitingJob
	if err := scheduler.NewService(controller.scheduler).Queue(10_000, &list); err != nil {
		cluster.t.Fatal(err)
	}
	jobs := map[string]scheduler.WaitingJob{}
	for _, waiting := range list {
		jobs[waiting.Job] = waiting
	}
	return jobs
}
