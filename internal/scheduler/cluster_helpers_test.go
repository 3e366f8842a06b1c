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

// newSpec is a job of small tasks that run on any machine.
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

func withGPUs(s job.Spec, gpus float64) job.Spec {
	s.GPUs = gpus
	return s
}

// dependentSpec is a job of one small task that waits for others.
func dependentSpec(id string, needs ...string) job.Spec {
	s := newSpec(id, job.Array, 1, 0)
	s.WaitsOn = needs
	return s
}

// submit has a controller accept a job, as its gateway does.
func (cluster *testCluster) submit(controller *testController, spec job.Spec) {
	cluster.t.Helper()
	shardID, _, ok := controller.scheduler.OwnJobShard()
	if !ok {
		cluster.t.Fatal("no job shard")
	}
	record := &job.Record{Spec: spec, JobShard: shardID, SubmittedMS: time.Now().UnixMilli()}
	key := job.RecordKey(spec.ID)
	rev, err := controller.session.Write(cluster.ctx, []statekv.Compare{{Key: key}}, []statekv.Op{{Set: key, Value: record}})
	if err != nil {
		cluster.t.Fatal(err)
	}
	controller.scheduler.OnJobAccepted(record, rev)
}

// cancel records a cancellation, as a gateway does.
func (cluster *testCluster) cancel(id string) {
	cluster.t.Helper()
	kv, err := cluster.state.Get(cluster.ctx, job.RecordKey(id))
	if err != nil {
		cluster.t.Fatal(err)
	}
	unchanged := []statekv.Compare{{Key: kv.Key, Rev: kv.Rev}}
	if _, err := cluster.state.Txn(cluster.ctx, unchanged, cancellation(id, 1)); err != nil {
		cluster.t.Fatal(err)
	}
}

// legacyTombstone writes a job's tombstone in the legacy schema.
func legacyTombstone(id, status string, tasks int) []statekv.Op {
	return tombstone.WriteOps(id, tombstone.Tombstone{Status: status, Tasks: tasks}, tombstone.LegacyOnly)
}

// cancellation replaces a job's record by its tombstone.
func cancellation(id string, tasks int) []statekv.Op {
	return append(legacyTombstone(id, job.Cancelled, tasks), statekv.Op{Delete: job.RecordKey(id)})
}

// put writes keys behind the controllers' backs.
func (cluster *testCluster) put(ops ...statekv.Op) {
	cluster.t.Helper()
	if _, err := cluster.state.Txn(cluster.ctx, nil, ops); err != nil {
		cluster.t.Fatal(err)
	}
}

// setClusterVersion has the stored cluster version enable the features.
func (cluster *testCluster) setClusterVersion(features ...rollout.Feature) {
	cluster.t.Helper()
	version := rollout.ClusterVersion{Schema: 1, Number: len(features), Features: features}
	cluster.put(statekv.Op{Set: statekv.ClusterVersionKey, Value: version})
}

// enableDependencies has the stored cluster version enable dependencies between jobs.
func (cluster *testCluster) enableDependencies() {
	cluster.setClusterVersion(rollout.FeatureVersionGate, rollout.FeatureDependencies)
}

// exitAllTasks has all tasks on machines exit with the cause.
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

// finalStatus is the status in a job's tombstone, or "".
func (cluster *testCluster) finalStatus(id string) string {
	f, err := tombstone.Read(cluster.ctx, cluster.state, nil, id)
	if err != nil {
		return ""
	}
	return f.Status
}

// startCounts counts how often each task was started.
func (cluster *testCluster) startCounts() map[string]int {
	out := map[string]int{}
	cluster.workers.WithLock(func() {
		for _, machine := range cluster.machines {
			for _, s := range machine.Started {
				out[s]++
			}
		}
	})
	return out
}

// countStarts counts how many starts of a job's tasks were carried out.
func (cluster *testCluster) countStarts(id string) (n int) {
	for task, k := range cluster.startCounts() {
		if strings.HasPrefix(task, id+"/") {
			n += k
		}
	}
	return n
}

// wasStarted reports whether a task of the job was ever started.
func (cluster *testCluster) wasStarted(id string) bool { return cluster.startCounts()[id+"/0"] > 0 }

// wasStartedOn reports whether a task was started on the machine with the index.
func (cluster *testCluster) wasStartedOn(machine int, task string) (yes bool) {
	cluster.workers.WithLock(func() {
		for _, s := range cluster.machines[machine].Started {
			yes = yes || s == task
		}
	})
	return yes
}

// countTasks counts the tasks that are on machines, exited ones too.
func (cluster *testCluster) countTasks() (n int) {
	cluster.workers.WithLock(func() {
		for _, machine := range cluster.machines {
			n += len(machine.Heartbeat.Tasks)
		}
	})
	return n
}

// allEntries lists the machines of all controllers that are up.
func allEntries(cluster *testCluster) (all []agentapi.MachineEntry) {
	for _, host := range hosts {
		if controller := cluster.controller(host); controller != nil {
			_, entries := controller.agent.Snapshot()
			all = append(all, entries...)
		}
	}
	return all
}

// waitingJobs lists the waiting jobs of a controller, as its status does.
func (controller *testController) waitingJobs(cluster *testCluster) map[string]scheduler.WaitingJob {
	cluster.t.Helper()
	var list []scheduler.WaitingJob
	if err := scheduler.NewService(controller.scheduler).Queue(10_000, &list); err != nil {
		cluster.t.Fatal(err)
	}
	out := map[string]scheduler.WaitingJob{}
	for _, q := range list {
		out[q.Job] = q
	}
	return out
}
