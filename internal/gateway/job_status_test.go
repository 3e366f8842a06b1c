package gateway

import (
	"errors"
	"testing"
	"time"

	"robinstack/internal/dag"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// A new session has to read the tombstones that were written before it. Until then, it returns no
// status that may be older than one returned before; afterwards, it returns the current one.
func TestNewSessionNeverReturnsOlderStatus(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.enableDependencies()
		fixture.writeTombstone("wk-1", job.Cancelled, tombstone.LegacyOnly)
		for id, dependency := range map[string]string{"wk-2": "wk-1", "wk-3": "wk-2"} {
			fixture.writeRecord(job.Spec{ID: id, Tasks: 1, WaitsOn: []string{dependency}})
		}
		time.Sleep(time.Second)
		fixture.clearTombstones()
		noEstimate := func(*job.Spec) time.Duration { return 0 }
		tracker := dag.NewTracker(fixture.components.Mirror, noEstimate, fixture.gateway.CachedTombstone)
		tracker.OnEvents(nil)
		components := *fixture.components
		components.DependencyTracker = tracker
		fixture.gateway.SetComponents(&components)
		code, answer, retryAfter := fixture.request("GET", "/submissions/wk-3", "")
		if code == 200 && answer["status"] == job.Queued || code != 200 && retryAfter == "" {
			t.Fatalf("wk-3 before its dependencies are known: got %d %v, Retry-After %q; want Retry-After, or not status %s",
				code, answer, retryAfter, job.Queued)
		}
		go tracker.Run(fixture.ctx, fixture.gateway.ReadTombstone)
		time.Sleep(time.Second)
		fixture.expectStatus("wk-3", job.Cancelled)
		fixture.expectStatus("wk-2", job.Cancelled)
	})
}

// A job is cancelled and its tombstone written after a query has read its open record and before
// the query evaluates its dependencies. Users may have seen the job as cancelled long before, from
// the dependencies in its record alone. The query must look up the job again and must not report it
// as queued.
func TestTombstoneWrittenDuringLookup(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.enableDependencies()
		fixture.submit(201, "wk-1")
		fixture.submit(201, "wk-2", "wk-1")
		time.Sleep(time.Second)
		formerRecord, ok := fixture.components.Mirror.Get(job.RecordKey("wk-2"))
		if !ok {
			fixture.t.Fatal("the mirror has no record of wk-2")
		}
		cancelled := tombstone.Tombstone{Status: job.Cancelled, Tasks: 1}
		for _, id := range []string{"wk-1", "wk-2"} {
			ops := tombstone.WriteOps(id, cancelled, tombstone.LegacyOnly)
			fixture.write(append(ops, statekv.Op{Delete: job.RecordKey(id)})...)
		}
		time.Sleep(time.Second)
		final, waiting, err := fixture.gateway.dependencyState("wk-2", formerRecord)
		if !errors.Is(err, errFinishedDuringLookup) {
			fixture.t.Errorf("with the former record: got %+v, waiting %v, %v; want %v", final, waiting, err, errFinishedDuringLookup)
		}
		fixture.expectStatus("wk-2", job.Cancelled)
	})
}
