package scheduler

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
)

// buildOpenRecord returns the record to be written for an unfinished job. The failure history is
// left out if the record would exceed the value size limit with it.
func (s *Scheduler) buildOpenRecord(j *jobState, withFailures bool) job.Record {
	record := job.Record{
		Spec:              *j.spec,
		JobShard:          j.shardID,
		SubmittedMS:       j.submittedAt.UnixMilli(),
		CompletedTasks:    j.done.EncodeChunk(0),
		SpecFragments:     j.record.SpecFragments,
		UnknownFields:     j.record.UnknownFields,
		UnknownSpecFields: j.record.UnknownSpecFields,
	}
	if !withFailures || len(j.failures.failedOn) == 0 {
		return record
	}
	machines := slices.Sorted(maps.Keys(j.failures.failedOn))
	record.Failures = &job.FailureHistory{
		Machines:    machines[:min(len(machines), job.MaxFailedMachines)],
		Consecutive: j.failures.consecutive,
		Suspected:   j.failures.jobAtFault,
	}
	if raw, err := json.Marshal(record); err != nil || len(raw) > s.settings.StateLimits.MaxValueBytes {
		record.Failures = nil
	}
	return record
}

// recordOps returns the operations that write an unfinished job's record and its chunks of
// completed tasks, limited to the size of one transaction. Chunks that do not fit are removed from
// chunks and marked as dirty again. A record that exceeds the value size limit, because an earlier
// version with a higher limit wrote it, gets its spec split into fragments. If it cannot be split,
// for example because the cluster version does not enable fragments yet, recordOps returns nil.
func (s *Scheduler) recordOps(
	j *jobState, record *job.Record, chunks map[int]bool, version rollout.ClusterVersion,
) []statekv.Op {
	maxBytes, maxOps := s.settings.StateLimits.MaxValueBytes, s.store.MaxTxnOps(s.settings.StateLimits.MaxTxnOps)
	var ops []statekv.Op
	if record.SpecFragments == 0 && record.ExceedsLimit(maxBytes) {
		if !version.Enabled(rollout.FeatureDependencies) {
			return nil
		}
		fragments, err := record.SplitSpec(maxBytes, maxOps-1)
		if err != nil {
			slog.Error("job record unusable", "job", record.Spec.ID, "err", err)
			return nil
		}
		ops = fragments
	}
	ops = append(ops, statekv.Op{Set: job.RecordKey(record.Spec.ID), Value: *record})
	for k := range chunks {
		switch {
		case k == 0: // chunk 0 is part of the record
		case len(ops) < maxOps:
			ops = append(ops, statekv.Op{Set: job.CompletedChunkKey(record.Spec.ID, k), Value: j.done.EncodeChunk(k)})
		default:
			delete(chunks, k)
			j.completion.dirtyChunks[k], j.completion.dirtySince = true, time.Now()
		}
	}
	return ops
}
