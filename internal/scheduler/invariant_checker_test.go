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

// invariantChecker compares what is on the machines and in the records with the invariants
// of the service.
type invariantChecker struct {
	*testCluster
	jobs       map[string]job.Spec
	cancelled  map[string]time.Time // when that was acknowledged to their users
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

// violate notes that an invariant does not hold; the format begins with its name.
func (checker *invariantChecker) violate(format string, args ...any) {
	checker.violations = append(checker.violations, fmt.Sprintf(format, args...))
}

// transitiveDependents lists a job with all that wait for it, directly or through others.
func (checker *invariantChecker) transitiveDependents(id string) []string {
	out := []string{id}
	for k := 0; k < len(out); k++ {
		for other, s := range checker.jobs {
			if slices.Contains(s.WaitsOn, out[k]) && !slices.Contains(out, other) {
				out = append(out, other)
			}
		}
	}
	return out
}

// checkNow checks the present moment.
func (checker *invariantChecker) checkNow() {
	machinesOf := checker.machinesByTask()
	for task, machines := range machinesOf {
		if len(machines) > 1 {
			checker.violate("ran_twice: %s is on %v", task, machines)
		}
		checker.checkFirstStart(task)
	}
	for id, at := range checker.cancelled {
		if time.Since(at) < 60*time.Second {
			continue
		}
		for _, later := range checker.transitiveDependents(id) {
			if machinesOf[later+"/0"] != nil {
				checker.violate("ran_cancelled: %s runs %v after %s was cancelled", later, time.Since(at), id)
			}
		}
	}
}

// machinesByTask lists the machines of each task that has not exited.
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

// checkFirstStart checks, when a job is seen on a machine first, that its dependencies are
// done.
func (checker *invariantChecker) checkFirstStart(task string) {
	id, _, _ := strings.Cut(task, "/")
	if checker.started[id] {
		return
	}
	checker.started[id] = true
	for _, dependency := range checker.jobs[id].WaitsOn {
		if checker.storedStatus(dependency) != job.Done || checker.hasOpenRecord(dependency) {
			checker.violate("too_early: %s started before %s was done", task, dependency)
		}
	}
}

// hasOpenRecord reports whether a job's record is stored, also while nobody can read it.
func (checker *invariantChecker) hasOpenRecord(id string) bool {
	key := job.RecordKey(id)
	return slices.ContainsFunc(checker.state.ListAll(key), func(kv statekv.KV) bool { return kv.Key == key })
}

// storedStatus is the status in a job's stored tombstone, or "", also while nobody can read
// it.
func (checker *invariantChecker) storedStatus(id string) string {
	stored := append(checker.state.ListAll(tombstone.LegacyKey(id)), checker.state.ListAll(tombstone.Key(id))...)
	for _, kv := range stored {
		if of, r, ok, err := tombstone.Parse(kv.Key, kv.Value); ok && err == nil && of == id {
			return r.Status
		}
	}
	return ""
}

// checkOutcomes checks what became of all jobs once the faults are over.
func (checker *invariantChecker) checkOutcomes() {
	gone := map[string]bool{}
	for id := range checker.cancelled {
		if checker.finalStatus(id) == job.Cancelled {
			for _, later := range checker.transitiveDependents(id) {
				gone[later] = true
			}
		}
	}
	for id := range checker.jobs {
		switch got := checker.finalStatus(id); {
		case gone[id] && got != job.Cancelled:
			checker.violate("orphaned: %s is %q and a job before it was cancelled", id, got)
		case !gone[id] && got == job.Cancelled:
			checker.violate("went_back: %s is withdrawn and nobody cancelled it", id)
		case !gone[id] && got != job.Done:
			checker.violate("forgotten: %s is %q", id, got)
		}
	}
}

// openJobWithoutDependencies is an open job that waits for none, or "".
func (checker *invariantChecker) openJobWithoutDependencies() string {
	for id, s := range checker.jobs {
		if len(s.WaitsOn) == 0 && checker.hasOpenRecord(id) && checker.cancelled[id].IsZero() {
			return id
		}
	}
	return ""
}

// deleteRecord removes a job's record.
func deleteRecord(id string) []statekv.Op { return []statekv.Op{{Delete: job.RecordKey(id)}} }
