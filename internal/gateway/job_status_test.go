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

// A new session has to read what came before it: until then it answers nothing that may be too old,
// and then the truth.
func TestNewSessionNeverGivesOlderStatus(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.enableDependencies()
		fixture.writeTombstone("wk-1", job.Cancelled, tombstone.LegacyOnly)
		for id, dependency := range map[string]string{"wk-2": "wk-1", "wk-3": "wk-2"} {
			fixture.writeRecord(job.Spec{ID: id, Tasks: 1, WaitsOn: []string{dependency}})
		}
		time.Sleep(time.Second)
		fixture.clearTombstones()
		atOnce := func(*job.Spec) time.Duration { return 0 }
		fresh := dag.NewTracker(fixture.components.Mirror, atOnce, fixture.gateway.CachedTombstone)
		fresh.OnEvents(nil)
		components := *fixture.components
		components.DependencyTracker = fresh
		fixture.gateway.SetComponents(&components)
		code, answer, retryAfter := fixture.request("GET", "/submissions/wk-3", "")
		if code == 200 && answer["status"] == job.Queued || code != 200 && retryAfter == "" {
			t.Fatal(code, answer)
		}
		go fresh.Run(fixture.ctx, fixture.gateway.ReadTombstone)
		time.Sleep(time.Second)
		fixture.expectStatus("wk-3", job.Cancelled)
		fixture.expectStatus("wk-2", job.Cancelled)
	})
}

// A query has read a job's open record, and before it asks what the job depends on, that is
// cancelled and recorded: users may have seen that long before, from the dependencies in its
// record alone. The query looks once more, and must not report the job as queued.
func TestTombstoneWrittenDuringLookup(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.enableDependencies()
		fixture.submit(201, "wk-1")
		fixture.submit(201, "wk-2", "wk-1")
		time.Sleep(time.Second)
		seen, ok := fixture.components.Mirror.Get(job.RecordKey("wk-2"))
		if !ok {
			fixture.t.Fatal("its record is not there")
		}
		cancelled := tombstone.Tombstone{Status: job.Cancelled, Tasks: 1}
		for _, id := range []string{"wk-1", "wk-2"} {
			ops := tombstone.WriteOps(id, cancelled, tombstone.LegacyOnly)
			fixture.write(append(ops, statekv.Op{Delete: job.RecordKey(id)})...)
		}
		time.Sleep(time.Second)
		final, waiting, err := fixture.gateway.dependencyState("wk-2", seen)
		if !errors.Is(err, errFinishedMeanwhile) {
			fixture.t.Errorf("by the record read before: %+v, waiting %v, %v", final, waiting, err)
		}
		fixture.expectStatus("wk-2", job.Cancelled)
	})
}
