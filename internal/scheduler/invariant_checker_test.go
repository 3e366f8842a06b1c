package scheduler_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
	"robinstack/internal/worker"
)

// invariantChecker checks the tasks on machines and the stored records against the service
// invariants.
type invariantChecker struct {
	*testCluster
	jobs       map[string]job.Spec
	cancelled  map[string]time.Time // when the cancellation was acknowledged to the user
	started    map[string]bool
	violations []string
}

func newInvariantChecker(cluster *testCluster) *invariantChecker {
	return &invariantChecker{
		testCluster: cluster,
		jobs:        map[string]job.Spec{},
		cancelled:   map[string]time.Time{},
		started:     map[string]bool{},
	}
}

// addViolation adds a violation; format begins with the name of the invariant.
func (checker *invariantChecker) addViolation(format string, args ...any) {
	checker.violations = append(checker.violations, fmt.Sprintf(format, args...))
}

// transitiveDependents returns a job and all jobs that depend on it, directly or transitively.
func (checker *invariantChecker) transitiveDependents(id string) []string {
	dependents := []string{id}
	for next := 0; next < len(dependents); next++ {
		for other, spec := range checker.jobs {
			if slices.Contains(spec.WaitsOn, dependents[next]) && !slices.Contains(dependents, other) {
				dependents = append(dependents, other)
			}
		}
	}
	return dependents
}

// checkMachines checks the tasks that are on machines now.
func (checker *invariantChecker) checkMachines() {
	machinesOf := checker.machinesByTask()
	for task, machines := range machinesOf {
		if len(machines) > 1 {
			checker.addViolation("ran_twice: %s is on %v", task, machines)
		}
		checker.checkFirstStart(task)
	}
	for id, at := range checker.cancelled {
		if time.Since(at) < 60*time.Second {
			continue
		}
		for _, dependent := range checker.transitiveDependents(id) {
			if machinesOf[dependent+"/0"] != nil {
				checker.addViolation("ran_cancelled: %s runs %v after %s was cancelled",
					dependent, time.Since(at), id)
			}
		}
	}
}

// machinesByTask returns the machines of each task that has not exited.
func (checker *invariantChecker) machinesByTask() map[string][]string {
	machines := map[string][]string{}
	checker.workers.WithLock(func() {
		for _, machine := range checker.machines {
			for _, task := range machine.Heartbeat.Tasks {
				if task.State != worker.TaskExited {
					machines[task.ID] = append(machines[task.ID], machine.Heartbeat.Machine)
				}
			}
		}
	})
	return machines
}

// checkFirstStart checks that a job's dependencies are done when one of its tasks is first seen on
// a machine.
func (checker *invariantChecker) checkFirstStart(task string) {
	id, _, _ := strings.Cut(task, "/")
	if checker.started[id] {
		return
	}
	checker.started[id] = true
	for _, dependency := range checker.jobs[id].WaitsOn {
		if checker.storedStatus(dependency) != job.Done || checker.hasOpenRecord(dependency) {
			checker.addViolation("too_early: %s started before dependency %s was done", task, dependency)
		}
	}
}

// hasOpenRecord reports whether a job's record is stored. It also works during an outage of the
// state service.
func (checker *invariantChecker) hasOpenRecord(id string) bool {
	key := job.RecordKey(id)
	return slices.ContainsFunc(checker.state.ListAll(key), func(kv statekv.KV) bool { return kv.Key == key })
}

// storedStatus returns the status in a job's stored tombstone, or "". It also works during an
// outage of the state service.
func (checker *invariantChecker) storedStatus(id string) string {
	stored := append(checker.state.ListAll(tombstone.LegacyKey(id)), checker.state.ListAll(tombstone.Key(id))...)
	for _, kv := range stored {
		if storedID, record, ok, err := tombstone.Parse(kv.Key, kv.Value); ok && err == nil && storedID == id {
			return record.Status
		}
	}
	return ""
}

// checkOutcomes checks the final status of all jobs after the faults have ended.
func (checker *invariantChecker) checkOutcomes() {
	cancelled := map[string]bool{}
	for id := range checker.cancelled {
		if checker.finalStatus(id) == job.Cancelled {
			for _, dependent := range checker.transitiveDependents(id) {
				cancelled[dependent] = true
			}
		}
	}
	for id := range checker.jobs {
		switch got := checker.finalStatus(id); {
		case cancelled[id] && got != job.Cancelled:
			checker.addViolation("orphaned: %s has status %q although a dependency was cancelled", id, got)
		case !cancelled[id] && got == job.Cancelled:
			checker.addViolation("went_back: %s is cancelled although no user cancelled it or a dependency", id)
		case !cancelled[id] && got != job.Done:
			checker.addViolation("forgotten: %s has status %q, want done", id, got)
		}
	}
}

// openJobWithoutDependencies returns an open job without dependencies that is not cancelled, or "".
func (checker *invariantChecker) openJobWithoutDependencies() string {
	for id, spec := range checker.jobs {
		if len(spec.WaitsOn) == 0 && checker.hasOpenRecord(id) && checker.cancelled[id].IsZero() {
			return id
		}
	}
	return ""
}

// deleteRecord returns the operation that deletes a job's record.
func deleteRecord(id string) []statekv.Op { return []statekv.Op{{Delete: job.RecordKey(id)}} }
