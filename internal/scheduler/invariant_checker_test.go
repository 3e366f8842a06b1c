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

// invariantChecker holds what is on the machines and in the records against the rules.
type invariantChecker struct {
	*testCluster
	jobs       map[string]job.Spec
	cancelled  map[string]time.Time // when that was acknowledged to their users
	started    map[string]bool
	violations []string
}

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
	on := map[string][]string{}
	completed := map[string]bool{}
	checker.workers.WithLock(func() {
		for _, machine := range checker.machines {
			for _, t := range machine.Heartbeat.Tasks {
				if t.State != worker.TaskExited {
					on[t.ID] = append(on[t.ID], machine.Heartbeat.Machine)
				} else if t.Cause == worker.CauseDone {
					completed[t.ID] = true
				}
			}
		}
	})
	for task, where := range on {
		if len(where) > 1 {
			checker.violate("ran_twice: %s is on %v", task, where)
		}
		id, _, _ := strings.Cut(task, "/")
		if checker.started[id] {
			continue
		}
		checker.started[id] = true
		for _, p := range checker.jobs[id].WaitsOn {
			if checker.storedStatus(p) != job.Done || checker.hasOpenRecord(p) {
				checker.violate("too_early: %s started before %s was done", task, p)
			}
		}
	}
	for id, at := range checker.cancelled {
		if time.Since(at) < 60*time.Second {
			continue
		}
		for _, later := range checker.transitiveDependents(id) {
			if on[later+"/0"] != nil {
				checker.violate("ran_cancelled: %s runs %v after %s was cancelled", later, time.Since(at), id)
			}
		}
	}
}

// hasOpenRecord and stored tell what the records say, also while nobody can read them.
func (checker *invariantChecker) hasOpenRecord(id string) bool {
	return slices.ContainsFunc(checker.state.ListAll(job.RecordKey(id)), func(kv statekv.KV) bool { return kv.Key == job.RecordKey(id) })
}

func (checker *invariantChecker) storedStatus(id string) string {
	for _, kv := range append(checker.state.ListAll(tombstone.LegacyKey(id)), checker.state.ListAll(tombstone.Key(id))...) {
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
