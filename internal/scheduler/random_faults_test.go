package scheduler_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/invariant"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
	"robinstack/internal/worker"
)

const (
	faultSteps       = 60 // steps of two seconds with one fault each
	submissionSteps  = 45 // first steps, in which jobs are submitted
	recoverySteps    = 60 // steps of five seconds without faults
	maxDependencyAge = 4  // a job depends only on jobs among this many submitted before it
)

// faultInjector injects random faults into a cluster while jobs are submitted to it.
type faultInjector struct {
	*invariantChecker
	random          *rand.Rand
	sessions        uint64
	leases          map[string]uint64 // state lease ID of the latest session, by host
	heartbeatCopies []heartbeatCopy
	submitted       []string
}

// heartbeatCopy is a copy of a heartbeat that arrives later.
type heartbeatCopy struct {
	heartbeat worker.Heartbeat
	deliverAt time.Time
}

// runRandomFaults injects faults drawn from the seed: restarts and crashes of controllers, outages
// of the state service, lost responses, machines whose commands are delayed, delayed copies of
// heartbeats, and cancellations. Meanwhile jobs with dependencies are submitted. After the faults
// the cluster gets time to recover, and then the outcomes are checked. afterStep, if not nil, is
// called after each step with a fault.
func runRandomFaults(cluster *testCluster, seed uint64, afterStep func(checker *invariantChecker)) *invariantChecker {
	f := &faultInjector{
		invariantChecker: newInvariantChecker(cluster),
		random:           rand.New(rand.NewPCG(seed, 7)),
		leases:           map[string]uint64{},
	}
	cluster.enableDependencies()
	for _, host := range hosts {
		f.startSession(host)
		cluster.advance(3 * time.Second)
	}
	for step := range faultSteps {
		controller := cluster.controller(f.randomHost())
		if controller != nil && step < submissionSteps {
			f.submitRandomJob(controller, fmt.Sprintf("wk-%d", step))
		}
		f.injectFault()
		f.deliverHeartbeatCopies()
		cluster.advance(2 * time.Second)
		if afterStep != nil {
			afterStep(f.invariantChecker)
		}
		f.checkMachines()
		if f.random.IntN(2) == 0 {
			cluster.exitAllTasks(worker.CauseDone)
		}
	}
	f.endFaults()
	for range recoverySteps {
		cluster.advance(5 * time.Second)
		f.checkMachines()
		cluster.exitAllTasks(worker.CauseDone)
	}
	f.checkOutcomes()
	return f.invariantChecker
}

func (f *faultInjector) randomHost() string { return hosts[f.random.IntN(len(hosts))] }

func (f *faultInjector) startSession(host string) {
	f.start(host)
	f.sessions++
	f.leases[host] = f.sessions
}

// submitRandomJob submits a job that depends on a random subset of the jobs submitted last.
func (f *faultInjector) submitRandomJob(controller *testController, id string) {
	if _, _, ok := controller.scheduler.OwnJobShard(); !ok || !controller.session.HoldsLease() {
		return
	}
	spec := newSpec(id, job.Array, 1, 1)
	for _, earlier := range f.submitted[max(0, len(f.submitted)-maxDependencyAge):] {
		if f.random.IntN(3) == 0 {
			spec.WaitsOn = append(spec.WaitsOn, earlier)
		}
	}
	if f.trySubmit(controller, spec) {
		f.jobs[id] = spec
		f.submitted = append(f.submitted, id)
	}
}

// injectFault injects or ends one random fault, or does nothing.
func (f *faultInjector) injectFault() {
	machine := f.machines[f.random.IntN(len(f.machines))]
	host := f.randomHost()
	switch f.random.IntN(12) {
	case 0:
		f.restart(host)
	case 1:
		f.crashAndRestart(host)
	case 2:
		f.state.SetOutage(true, false)
	case 3:
		f.state.SetOutage(false, true)
	case 4, 5:
		f.state.SetOutage(false, false)
	case 6:
		f.workers.WithLock(func() { machine.HoldCommands = !machine.HoldCommands })
	case 7:
		f.deliverHeldCommands(machine)
	case 8:
		f.scheduleHeartbeatCopy(machine)
	case 9:
		f.cancelRandomJob()
	}
}

// restart stops a controller and starts it again within 300 ms, before its lease expires: the new
// session ends the previous one.
func (f *faultInjector) restart(host string) {
	controller := f.controller(host)
	if controller == nil {
		return
	}
	f.mu.Lock()
	controller.up = false
	f.mu.Unlock()
	controller.stop()
	time.Sleep(time.Duration(f.random.IntN(300)) * time.Millisecond)
	f.state.SetOutage(false, false)
	f.startSession(host)
}

// crashAndRestart crashes a controller and starts it again within 10 s, if the other one is
// running.
func (f *faultInjector) crashAndRestart(host string) {
	controller := f.controller(host)
	if controller == nil || f.controller(otherHost(host)) == nil {
		return
	}
	f.crash(controller, f.leases[host])
	f.advance(time.Duration(f.random.IntN(10)) * time.Second)
	f.state.SetOutage(false, false)
	f.startSession(host)
}

func (f *faultInjector) deliverHeldCommands(machine *emulator.Worker) {
	f.workers.WithLock(func() { machine.HoldCommands = false })
	f.workers.DeliverHeldCommands(machine)
}

// scheduleHeartbeatCopy schedules a copy of a machine's last heartbeat for delivery up to 60 s
// later.
func (f *faultInjector) scheduleHeartbeatCopy(machine *emulator.Worker) {
	var heartbeat worker.Heartbeat
	f.workers.WithLock(func() {
		heartbeat = machine.Heartbeat
		heartbeat.Tasks = slices.Clone(machine.Heartbeat.Tasks)
	})
	deliverAt := time.Now().Add(time.Duration(f.random.IntN(60)) * time.Second)
	f.heartbeatCopies = append(f.heartbeatCopies, heartbeatCopy{heartbeat, deliverAt})
}

// deliverHeartbeatCopies delivers to a random controller each copied heartbeat whose delivery time
// has come, and delivers it again at every later step.
func (f *faultInjector) deliverHeartbeatCopies() {
	for _, copied := range f.heartbeatCopies {
		controller := f.controller(f.randomHost())
		if controller != nil && time.Now().After(copied.deliverAt) {
			go func() { controller.agent.Heartbeat(f.ctx, &copied.heartbeat) }()
		}
	}
}

func (f *faultInjector) cancelRandomJob() {
	if len(f.submitted) == 0 {
		return
	}
	id := f.submitted[f.random.IntN(len(f.submitted))]
	if _, cancelled := f.cancelled[id]; !cancelled && f.tryCancel(id) {
		f.cancelled[id] = time.Now()
	}
}

// endFaults ends the outage and delivers the held commands. Controllers that crashed are already
// running again.
func (f *faultInjector) endFaults() {
	f.state.SetOutage(false, false)
	for _, machine := range f.machines {
		f.deliverHeldCommands(machine)
	}
}

// trySubmit submits a job. It reports whether the state service accepted the job, or may have.
func (cluster *testCluster) trySubmit(controller *testController, spec job.Spec) bool {
	shardID, epoch, _ := controller.scheduler.OwnJobShard()
	record := &job.Record{Spec: spec, JobShard: shardID, SubmittedMS: time.Now().UnixMilli()}
	compares := append(tombstone.AbsentCompares(spec.ID),
		statekv.Compare{Key: job.RecordKey(spec.ID)},
		statekv.Compare{Key: statekv.JobShardPrefix + shardID, Rev: epoch})
	rev, err := controller.session.Write(cluster.ctx, compares,
		[]statekv.Op{{Set: job.RecordKey(spec.ID), Value: record}})
	if err == nil {
		controller.scheduler.OnJobAccepted(record, rev)
	}
	// If the outcome is unknown, the user repeats the request, and the stored record decides the
	// response.
	return err == nil || errors.Is(err, statekv.ErrOutcomeUnknown)
}

// tryCancel records a cancellation. It reports whether the state service applied it, or may have.
func (cluster *testCluster) tryCancel(id string) bool {
	kv, err := cluster.state.Get(cluster.ctx, job.RecordKey(id))
	if err != nil {
		return false
	}
	compares := []statekv.Compare{{Key: kv.Key, Rev: kv.Rev}}
	_, err = cluster.state.Txn(cluster.ctx, compares, cancellation(id, 1))
	return err == nil || errors.Is(err, statekv.ErrOutcomeUnknown)
}

// Under random combinations of faults no invariant is violated, and every job reaches its final
// status.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, func(cluster *testCluster) {
				checker := runRandomFaults(cluster, seed, nil)
				if len(checker.violations) > 0 {
					shown := checker.violations[:min(5, len(checker.violations))]
					t.Errorf("%d violations: %s", len(checker.violations), strings.Join(shown, "; "))
				}
				if len(checker.jobs) < 20 || len(checker.started) < 10 {
					t.Errorf("got %d submitted and %d started jobs, want at least 20 and 10",
						len(checker.jobs), len(checker.started))
				}
			})
		})
	}
}

// The invariant checker must find a tombstone that says done too early, a task that runs twice, a
// lost job, and a job that was cancelled without a cause.
func TestInvariantCheckerFindsInjectedViolations(t *testing.T) {
	for rule, inject := range map[string]func(checker *invariantChecker) bool{
		"too_early": func(checker *invariantChecker) bool {
			for id, spec := range checker.jobs {
				for _, dependency := range spec.WaitsOn {
					if checker.hasOpenRecord(dependency) && !checker.started[id] &&
						checker.cancelled[dependency].IsZero() {
						checker.put(legacyTombstone(dependency, job.Done, 1)...)
						checker.workers.WithLock(func() {
							heartbeat := &checker.machines[0].Heartbeat
							heartbeat.Tasks = append(heartbeat.Tasks,
								worker.Task{ID: id + "/0", Attempt: 1 << 50, State: worker.TaskRunning})
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
				for i, machine := range checker.machines {
					for _, task := range machine.Heartbeat.Tasks {
						if task.State == worker.TaskRunning && !done {
							other := checker.machines[1-i]
							other.Heartbeat.Tasks = append(other.Heartbeat.Tasks,
								worker.Task{ID: task.ID, Attempt: task.Attempt + 1, State: worker.TaskRunning})
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
				checker.put(append(deleteRecord(id), legacyTombstone(id, job.Cancelled, 1)...)...)
				return true
			}
			return false
		},
	} {
		t.Run(rule, func(t *testing.T) {
			runScenario(t, func(cluster *testCluster) {
				steps, injected := 0, false
				checker := runRandomFaults(cluster, 3, func(checker *invariantChecker) {
					if steps++; steps > 8 && !injected && !cluster.state.IsDown() {
						injected = inject(checker)
					}
				})
				ofInvariant := func(violation string) bool { return strings.HasPrefix(violation, rule) }
				if n := invariant.Reset(); rule == "ran_twice" && n == 0 {
					t.Error("the scheduler has not noticed the second attempt of a task")
				}
				if !injected || !slices.ContainsFunc(checker.violations, ofInvariant) {
					t.Errorf("injected %v, found %v", injected, checker.violations[:min(4, len(checker.violations))])
				}
			})
		})
	}
}
