package scheduler

import (
	"testing"

	"robinstack/emulator"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/rollout"
)

// If tasks of all chunks of a large job complete between two writes, one transaction cannot record
// all chunks. Each write must stay within the transaction limit, and no chunk may be left out for
// good.
func TestCompletedChunksStayWithinTransactionLimit(t *testing.T) {
	const maxOps = 8
	s := &Scheduler{
		settings: &config.Settings{StateLimits: config.StateLimits{MaxValueBytes: 2048, MaxTxnOps: maxOps}},
		store:    emulator.NewStateService(),
	}
	spec := job.Spec{
		ID: "wk-1", Class: "c", Team: "t", Shape: job.Array, Rank: "normal", Tasks: job.MaxTasks, Image: "i",
	}
	j := &jobState{
		spec:       &spec,
		record:     &job.Record{},
		done:       job.NewTaskBitmap(spec.Tasks),
		completion: pendingCompletion{dirtyChunks: map[int]bool{}},
	}
	chunks := job.ChunkCount(spec.Tasks)
	for chunk := range chunks {
		j.completion.dirtyChunks[chunk] = true
	}
	written := map[string]bool{}
	for write := 0; len(j.completion.dirtyChunks) > 0; write++ {
		if write == chunks {
			t.Fatalf("%d dirty chunks are never written", len(j.completion.dirtyChunks))
		}
		dirty := j.completion.dirtyChunks
		j.completion.dirtyChunks = map[int]bool{}
		record := s.buildOpenRecord(j, false)
		ops := s.recordOps(j, &record, dirty, rollout.ClusterVersion{})
		if len(ops) > maxOps || len(ops) == 0 || len(dirty)+len(j.completion.dirtyChunks) > chunks {
			t.Fatalf("got %d operations with %d written and %d dirty chunks",
				len(ops), len(dirty), len(j.completion.dirtyChunks))
		}
		for _, op := range ops {
			written[op.Set] = true
		}
	}
	if len(written) != chunks { // chunk 0 is part of the record
		t.Errorf("got %d written keys, want %d", len(written), chunks)
	}
}
