package scheduler

import (
	"testing"

	"robinstack/emulator"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/rollout"
)

// Tasks of all chunks of a large job have finished since the last write: one transaction
// takes what it may, and the rest goes with the next ones; nothing is left out.
func TestChunksAreRecordedWithinTransactionLimit(t *testing.T) {
	const most = 8
	s := &Scheduler{
		settings: &config.Settings{StateLimits: config.StateLimits{MaxValueBytes: 2048, MaxTxnOps: most}},
		store:    emulator.NewStateService(),
	}
	spec := job.Spec{
		ID: "wk-1", Class: "c", Team: "t", Shape: job.Array, Rank: "normal", Tasks: job.MaxTasks, Image: "i",
	}
	j := &jobState{
		spec:       &spec,
		record:     &job.Record{},
		done:       job.NewTaskBitmap(spec.Tasks),
		completion: completion{dirtyChunks: map[int]bool{}},
	}
	all := job.ChunkCount(spec.Tasks)
	for k := range all {
		j.completion.dirtyChunks[k] = true
	}
	written := map[string]bool{}
	for write := 0; len(j.completion.dirtyChunks) > 0; write++ {
		if write == all {
			t.Fatalf("%d chunks are never written", len(j.completion.dirtyChunks))
		}
		dirty := j.completion.dirtyChunks
		j.completion.dirtyChunks = map[int]bool{}
		record := s.openRecord(j, false)
		ops := s.recordOps(j, &record, dirty, rollout.ClusterVersion{})
		if len(ops) > most || len(ops) == 0 || len(dirty)+len(j.completion.dirtyChunks) > all {
			t.Fatalf("%d changes; %d and %d chunks", len(ops), len(dirty), len(j.completion.dirtyChunks))
		}
		for _, op := range ops {
			written[op.Set] = true
		}
	}
	if len(written) != all { // the first chunk is in the record
		t.Errorf("%d of %d keys were written", len(written), all)
	}
}
