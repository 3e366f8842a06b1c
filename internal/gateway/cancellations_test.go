package gateway

import (
	"fmt"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// From the acknowledgement of a cancellation on, no dependent is reported as queued, however long
// the chain, though nothing can be written. Where the job completes in the same moment one of both
// counts, and the chain goes by that one.
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
			t.Fatal(code, answer)
		}
		fixture.state.SetTxnLatency(time.Hour) // no write comes through from now on
		for k := 300; k > 0; k-- {
			fixture.expectStatus(fmt.Sprintf("wk-%d", k), job.Cancelled)
		}
	})
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.enableDependencies()
		fixture.submit(201, "wk-1")
		fixture.submit(201, "wk-2", "wk-1")
		// Its scheduler's tombstone comes first.
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
			t.Fatal(code, answer)
		}
		fixture.expectStatus("wk-2", job.Queued)
	})
}

// The limits are lowered without notice while a job with keys beside its record is cancelled: its
// user asks again and gets an answer; what does not fit one transaction is left for the garbage
// collector, and nobody starts anything of it.
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
			t.Fatal(code, answer)
		}
		code, answer, _ = fixture.cancel("wk-1")
		if code != 200 || answer["status"] != job.Cancelled {
			t.Fatal(code, answer)
		}
		fixture.expectStatus("wk-1", job.Cancelled)
		left := len(fixture.state.ListAll(job.CompletedChunkPrefix))
		if left == 0 || left == job.ChunkCount(job.MaxTasks)-1 {
			t.Errorf("%d keys are left for the garbage collector", left)
		}
	})
}
