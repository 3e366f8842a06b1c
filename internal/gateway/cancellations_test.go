package gateway

import (
	"fmt"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// Once a cancellation is acknowledged, no dependent is reported as queued, however long the
// dependency chain is, even if nothing can be written. If the job completes at the same moment,
// only one of the two outcomes counts, and its dependents follow that one.
func TestStatusOfDependentsAfterCancellation(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.enableDependencies()
		fixture.submit(201, "wk-1")
		for k := 2; k <= 300; k++ {
			fixture.submit(201, fmt.Sprintf("wk-%d", k), fmt.Sprintf("wk-%d", k-1))
		}
		fixture.expectStatus("wk-300", job.Queued)
		code, answer, _ := fixture.cancel("wk-1")
		if code != 200 || answer["status"] != job.Cancelled {
			t.Fatalf("cancellation: got %d %v, want 200 and status %s", code, answer, job.Cancelled)
		}
		fixture.state.SetTxnLatency(time.Hour) // no write completes from now on
		for k := 300; k > 0; k-- {
			fixture.expectStatus(fmt.Sprintf("wk-%d", k), job.Cancelled)
		}
	})
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.enableDependencies()
		fixture.submit(201, "wk-1")
		fixture.submit(201, "wk-2", "wk-1")
		// The scheduler of wk-1 writes its tombstone before the cancellation.
		record, err := fixture.state.Get(fixture.ctx, job.RecordKey("wk-1"))
		if err != nil {
			t.Fatal(err)
		}
		done := tombstone.Tombstone{Status: job.Done, Tasks: 1}
		unchanged := []statekv.Compare{{Key: record.Key, Rev: record.Rev}}
		ops := append(tombstone.WriteOps("wk-1", done, tombstone.LegacyOnly), statekv.Op{Delete: record.Key})
		if _, err := fixture.state.Txn(fixture.ctx, unchanged, ops); err != nil {
			t.Fatal(err)
		}
		code, answer, _ := fixture.cancel("wk-1")
		if code != 200 || answer["status"] != job.Done {
			t.Fatalf("cancellation of a completed job: got %d %v, want 200 and status %s", code, answer, job.Done)
		}
		fixture.expectStatus("wk-2", job.Queued)
	})
}

// The transaction size limit is lowered without notice while a job with auxiliary keys is
// cancelled. The first cancellation is answered with 503 and Retry-After, and the repeated one
// succeeds: the job is cancelled, and auxiliary keys that do not fit into the transaction are left
// to the garbage collector.
func TestCancellationAfterLimitsAreLowered(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.writeRecord(job.Spec{ID: "wk-1", Tasks: job.MaxTasks, Shape: job.Array})
		for _, key := range job.AuxiliaryKeys("wk-1", job.MaxTasks, 0) {
			fixture.write(statekv.Op{Set: key, Value: "x"})
		}
		time.Sleep(time.Second)
		fixture.state.SetSizeLimits(2048, 5)
		code, answer, retryAfter := fixture.cancel("wk-1")
		if code != 503 || retryAfter == "" {
			t.Fatalf("first cancellation: got %d %v, Retry-After %q; want 503 with Retry-After", code, answer, retryAfter)
		}
		code, answer, _ = fixture.cancel("wk-1")
		if code != 200 || answer["status"] != job.Cancelled {
			t.Fatalf("repeated cancellation: got %d %v, want 200 and status %s", code, answer, job.Cancelled)
		}
		fixture.expectStatus("wk-1", job.Cancelled)
		left := len(fixture.state.ListAll(job.CompletedChunkPrefix))
		if left == 0 || left == job.ChunkCount(job.MaxTasks)-1 {
			t.Errorf("got %d auxiliary keys left for the garbage collector, want some but not all", left)
		}
	})
}
