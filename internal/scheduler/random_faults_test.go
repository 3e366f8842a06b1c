package scheduler_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
	"robinstack/internal/worker"
)

// runRandomFaults plays faults drawn by the seed: controllers that are back within a
// fraction of a second, or later; outages of the state service and lost answers; machines
// that commands do not reach; late copies of heartbeats; cancellations; and jobs that wait
// for others all the while. Then the faults end.
func runRandomFaults(cluster *testCluster, seed uint64, planted func(checker *invariantChecker)) *invariantChecker {
	rng := rand.New(rand.NewPCG(seed, 7))
	checker := &invariantChecker{testCluster: cluster, jobs: map[string]job.Spec{}, cancelled: map[string]time.Time{}, started: map[string]bool{}}
	cluster.enableDependencies()
	leases := uint64(0)
	up := map[string]uint64{}
	begin := func(host string) {
		cluster.start(host)
		leases++
		up[host] = leases
	}
	begin("host-0")
	cluster.advance(3 * time.Second)
	begin("host-1")
	cluster.advance(3 * time.Second)
	var copies []delayedHeartbeat
	var ids []string
	for step := range 60 {
		if controller := cluster.controller([]string{"host-0", "host-1"}[rng.IntN(2)]); controller != nil && step < 45 {
			if _, _, ok := controller.scheduler.OwnJobShard(); ok && controller.session.HoldsLease() {
				s := newSpec(fmt.Sprintf("wk-%d", step), job.Array, 1, 1)
				for _, p := range ids[max(0, len(ids)-4):] {
					if rng.IntN(3) == 0 {
						s.WaitsOn = append(s.WaitsOn, p)
					}
				}
				if cluster.trySubmit(controller, s) {
					checker.jobs[s.ID] = s
					ids = append(ids, s.ID)
				}
			}
		}
		machine := cluster.machines[rng.IntN(len(cluster.machines))]
		switch host := []string{"host-0", "host-1"}[rng.IntN(2)]; rng.IntN(12) {
		case 0: // back at once: its new session ends the one before
			if controller := cluster.controller(host); controller != nil {
				cluster.mu.Lock()
				controller.up = false
				cluster.mu.Unlock()
				controller.stop()
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				cluster.state.SetOutage(false, false)
				begin(host)
			}
		case 1: // away for a while
			if controller := cluster.controller(host); controller != nil && cluster.controller(otherHost(host)) != nil {
				cluster.crash(controller, up[host])
				cluster.advance(time.Duration(rng.IntN(10)) * time.Second)
				cluster.state.SetOutage(false, false)
				begin(host)
			}
		case 2:
			cluster.state.SetOutage(true, false)
		case 3:
			cluster.state.SetOutage(false, true)
		case 4, 5:
			cluster.state.SetOutage(false, false)
		case 6:
			cluster.workers.WithLock(func() { machine.HoldCommands = !machine.HoldCommands })
		case 7:
			cluster.workers.WithLock(func() { machine.HoldCommands = false })
			cluster.workers.DeliverHeldCommands(machine)
		case 8:
			var r worker.Heartbeat
			cluster.workers.WithLock(func() { r = machine.Heartbeat; r.Tasks = slices.Clone(machine.Heartbeat.Tasks) })
			copies = append(copies, delayedHeartbeat{r, time.Now().Add(time.Duration(rng.IntN(60)) * time.Second)})
		case 9:
			if len(ids) > 0 {
				id := ids[rng.IntN(len(ids))]
				if _, cancelled := checker.cancelled[id]; !cancelled && cluster.tryCancel(id) {
					checker.cancelled[id] = time.Now()
				}
			}
		}
		for _, l := range copies {
			if controller := cluster.controller([]string{"host-0", "host-1"}[rng.IntN(2)]); controller != nil && time.Now().After(l.deliverAt) {
				go func() { controller.agent.Heartbeat(cluster.ctx, &l.report) }()
			}
		}
		cluster.advance(2 * time.Second)
		if planted != nil {
			planted(checker)
		}
		checker.checkNow()
		if rng.IntN(2) == 0 {
			cluster.exitAllTasks(worker.CauseDone)
		}
	}
	cluster.state.SetOutage(false, false)
	for _, machine := range cluster.machines {
		cluster.workers.WithLock(func() { machine.HoldCommands = false })
		cluster.workers.DeliverHeldCommands(machine)
	}
	for range 60 {
		cluster.advance(5 * time.Second)
		checker.checkNow()
		cluster.exitAllTasks(worker.CauseDone)
	}
	checker.checkOutcomes()
	return checker
}

// delayedHeartbeat is a heartbeat that arrives once more.
type delayedHeartbeat struct {
	report    worker.Heartbeat
	deliverAt time.Time
}

// trySubmit submits a job if the state service takes it.
func (cluster *testCluster) trySubmit(controller *testController, s job.Spec) bool {
	shardID, epoch, _ := controller.scheduler.OwnJobShard()
	record := &job.Record{Spec: s, JobShard: shardID, SubmittedMS: time.Now().UnixMilli()}
	when := append(tombstone.AbsentCompares(s.ID), statekv.Compare{Key: job.RecordKey(s.ID)}, statekv.Compare{Key: statekv.JobShardPrefix + shardID, Rev: epoch})
	rev, err := controller.session.Write(cluster.ctx, when, []statekv.Op{{Set: job.RecordKey(s.ID), Value: record}})
	if err == nil {
		controller.scheduler.OnJobAccepted(record, rev)
	}
	// Without an answer its user asks again, and the record decides what it is answered.
	return err == nil || errors.Is(err, statekv.ErrOutcomeUnknown)
}

// tryCancel records a cancellation, and reports whether it was acknowledged to its user.
func (cluster *testCluster) tryCancel(id string) bool {
	kv, err := cluster.state.Get(cluster.ctx, job.RecordKey(id))
	if err != nil {
		return false
	}
	_, err = cluster.state.Txn(cluster.ctx, []statekv.Compare{{Key: kv.Key, Rev: kv.Rev}}, append(tombstone.WriteOps(id, tombstone.Tombstone{Status: job.Cancelled, Tasks: 1}, tombstone.LegacyOnly), statekv.Op{Delete: kv.Key}))
	return err == nil || errors.Is(err, statekv.ErrOutcomeUnknown)
}

// Under random faults of all kinds together no invariant is violated, and every job is known
// and comes to its end.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, func(cluster *testCluster) {
				checker := runRandomFaults(cluster, seed, nil)
				if len(checker.violations) > 0 {
					t.Errorf("%d broken: %s", len(checker.violations), strings.Join(checker.violations[:min(5, len(checker.violations))], "; "))
				}
				if len(checker.jobs) < 20 || len(checker.started) < 10 {
					t.Errorf("only %d jobs, %d began", len(checker.jobs), len(checker.started))
				}
			})
		})
	}
}

// What the checker must find: a record that says done too early, a task started behind
// the owners' backs, a job that is lost, and one cancelled without a cause.
func TestCheckerFindsInjectedViolations(t *testing.T) {
	for rule, plant := range map[string]func(checker *invariantChecker) bool{
		"too_early": func(checker *invariantChecker) bool {
			for id, s := range checker.jobs {
				for _, p := range s.WaitsOn {
					if checker.hasOpenRecord(p) && !checker.started[id] && checker.cancelled[p].IsZero() {
						checker.put(tombstone.WriteOps(p, tombstone.Tombstone{Status: job.Done, Tasks: 1}, tombstone.LegacyOnly)...)
						checker.workers.WithLock(func() {
							checker.machines[0].Heartbeat.Tasks = append(checker.machines[0].Heartbeat.Tasks, worker.Task{ID: id + "/0", Attempt: 1 << 50, State: worker.TaskRunning})
						})
						return true
					}
				}
			}
			return false
		},
		"ran_twice": func(checker *invariantChecker) bool {
			done := false
			checker.workers.WithLock(func() {
				for k, machine := range checker.machines {
					for _, t := range machine.Heartbeat.Tasks {
						if t.State == worker.TaskRunning && !done {
							other := checker.machines[1-k]
							other.Heartbeat.Tasks = append(other.Heartbeat.Tasks, worker.Task{ID: t.ID, Attempt: t.Attempt + 1, State: worker.TaskRunning})
							done = true
						}
					}
				}
			})
			return done
		},
		"forgotten": func(checker *invariantChecker) bool {
			if id := checker.openJobWithoutDependencies(); id != "" {
				checker.put(deleteRecord(id)...)
				return true
			}
			return false
		},
		"went_back": func(checker *invariantChecker) bool {
			if id := checker.openJobWithoutDependencies(); id != "" {
				checker.put(append(deleteRecord(id), tombstone.WriteOps(id, tombstone.Tombstone{Status: job.Cancelled, Tasks: 1}, tombstone.LegacyOnly)...)...)
				return true
			}
			return false
		},
	} {
		t.Run(rule, func(t *testing.T) {
			runScenario(t, func(cluster *testCluster) {
				steps, planted := 0, false
				checker := runRandomFaults(cluster, 3, func(checker *invariantChecker) {
					if steps++; steps > 8 && !planted && !cluster.state.IsDown() {
						planted = plant(checker)
					}
				})
				if !planted || !slices.ContainsFunc(checker.violations, func(b string) bool { return strings.HasPrefix(b, rule) }) {
					t.Errorf("planted %v, found %v", planted, checker.violations[:min(4, len(checker.violations))])
				}
			})
		})
	}
}
