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
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
	"robinstack/internal/worker"
)

const (
	faultSteps       = 60 // of two seconds, with one fault each
	submissionSteps  = 45 // of them, the first, with submissions
	recoverySteps    = 60 // of five seconds, without faults
	maxDependencyAge = 4  // a job may depend on so many of those submitted before it
)

// faultInjector plays random faults on a cluster while jobs are submitted to it.
type faultInjector struct {
	*invariantChecker
	random    *rand.Rand
	sessions  uint64
	lease     map[string]uint64 // of each host's session, by its number
	delayed   []delayedHeartbeat
	submitted []string
}

// delayedHeartbeat is a heartbeat that arrives once more.
type delayedHeartbeat struct {
	heartbeat worker.Heartbeat
	deliverAt time.Time
}

// runRandomFaults plays faults drawn by the seed: controllers that are back within a
// fraction of a second, or later; outages of the state service and lost answers; machines
// that commands do not reach; late copies of heartbeats; cancellations; and jobs that wait
// for others all the while. Then the faults end. The function afterStep, if any, is called
// after each step.
func runRandomFaults(cluster *testCluster, seed uint64, afterStep func(checker *invariantChecker)) *invariantChecker {
	f := &faultInjector{
		invariantChecker: newInvariantChecker(cluster),
		random:           rand.New(rand.NewPCG(seed, 7)),
		lease:            map[string]uint64{},
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
		f.deliverDelayed()
		cluster.advance(2 * time.Second)
		if afterStep != nil {
			afterStep(f.invariantChecker)
		}
		f.checkNow()
		if f.random.IntN(2) == 0 {
			cluster.exitAllTasks(worker.CauseDone)
		}
	}
	f.endFaults()
	for range recoverySteps {
		cluster.advance(5 * time.Second)
		f.checkNow()
		cluster.exitAllTasks(worker.CauseDone)
	}
	f.checkOutcomes()
	return f.invariantChecker
}

func (f *faultInjector) randomHost() string { return hosts[f.random.IntN(len(hosts))] }

func (f *faultInjector) startSession(host string) {
	f.start(host)
	f.sessions++
	f.lease[host] = f.sessions
}

// submitRandomJob submits a job that depends on some of the last ones.
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

// injectFault draws one fault, or the end of one, or none.
func (f *faultInjector) injectFault() {
	machine := f.machines[f.random.IntN(len(f.machines))]
	host := f.randomHost()
	switch f.random.IntN(12) {
	case 0:
		f.restart(host)
	case 1:
		f.crashForAWhile(host)
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
		f.copyHeartbeat(machine)
	case 9:
		f.cancelRandomJob()
	}
}

// restart ends a session whose controller is back at once: the new session ends the one
// before.
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

// crashForAWhile crashes a controller that is back after some seconds, if the other is up.
func (f *faultInjector) crashForAWhile(host string) {
	controller := f.controller(host)
	if controller == nil || f.controller(otherHost(host)) == nil {
		return
	}
	f.crash(controller, f.lease[host])
	f.advance(time.Duration(f.random.IntN(10)) * time.Second)
	f.state.SetOutage(false, false)
	f.startSession(host)
}

func (f *faultInjector) deliverHeldCommands(machine *emulator.Worker) {
	f.workers.WithLock(func() { machine.HoldCommands = false })
	f.workers.DeliverHeldCommands(machine)
}

// copyHeartbeat has a machine's last heartbeat arrive again from some moment on.
func (f *faultInjector) copyHeartbeat(machine *emulator.Worker) {
	var heartbeat worker.Heartbeat
	f.workers.WithLock(func() {
		heartbeat = machine.Heartbeat
		heartbeat.Tasks = slices.Clone(machine.Heartbeat.Tasks)
	})
	deliverAt := time.Now().Add(time.Duration(f.random.IntN(60)) * time.Second)
	f.delayed = append(f.delayed, delayedHeartbeat{heartbeat, deliverAt})
}

// deliverDelayed sends each copied heartbeat whose moment has come to one of the controllers.
func (f *faultInjector) deliverDelayed() {
	for _, copied := range f.delayed {
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

// endFaults ends all faults but the crash of controllers, which end by themselves.
func (f *faultInjector) endFaults() {
	f.state.SetOutage(false, false)
	for _, machine := range f.machines {
		f.deliverHeldCommands(machine)
	}
}

// trySubmit submits a job if the state service takes it.
func (cluster *testCluster) trySubmit(controller *testController, s job.Spec) bool {
	shardID, epoch, _ := controller.scheduler.OwnJobShard()
	record := &job.Record{Spec: s, JobShard: shardID, SubmittedMS: time.Now().UnixMilli()}
	when := append(tombstone.AbsentCompares(s.ID),
		statekv.Compare{Key: job.RecordKey(s.ID)},
		statekv.Compare{Key: statekv.JobShardPrefix + shardID, Rev: epoch})
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
	unchanged := []statekv.Compare{{Key: kv.Key, Rev: kv.Rev}}
	_, err = cluster.state.Txn(cluster.ctx, unchanged, cancellation(id, 1))
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
					shown := checker.violations[:min(5, len(checker.violations))]
					t.Errorf("%d violations: %s", len(checker.violations), strings.Join(shown, "; "))
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
	for rule, inject := range map[string]func(checker *invariantChecker) bool{
		"too_early": func(checker *invariantChecker) bool {
			for id, s := range checker.jobs {
				for _, p := range s.WaitsOn {
					if checker.hasOpenRecord(p) && !checker.started[id] && checker.cancelled[p].IsZero() {
						checker.put(legacyTombstone(p, job.Done, 1)...)
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
				for k, machine := range checker.machines {
					for _, t := range machine.Heartbeat.Tasks {
						if t.State == worker.TaskRunning && !done {
							other := checker.machines[1-k]
							other.Heartbeat.Tasks = append(other.Heartbeat.Tasks,
								worker.Task{ID: t.ID, Attempt: t.Attempt + 1, State: worker.TaskRunning})
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
				ofRule := func(violation string) bool { return strings.HasPrefix(violation, rule) }
				if !injected || !slices.ContainsFunc(checker.violations, ofRule) {
					t.Errorf("injected %v, found %v", injected, checker.violations[:min(4, len(checker.violations))])
				}
			})
		})
	}
}
