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

// openRecord is what is written of an unfinished job. What is known of its failures is left
// out where the value would become too large with it.
func (s *Scheduler) openRecord(j *jobState, withFailures bool) job.Record {
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

// recordOps are the changes that write an unfinished job's record and the chunks of
// finished tasks, as many as one transaction takes; it removes those from chunks that are
// left for later, and puts them back into the job's own. A record that is too large, which
// a version that knew a higher limit wrote, gets its spec split into fragments. It returns nothing
// where that cannot be done yet.
func (s *Scheduler) recordOps(
	j *jobState, record *job.Record, chunks map[int]bool, level rollout.ClusterVersion,
) []statekv.Op {
	limit, most := s.settings.StateLimits.MaxValueBytes, s.store.MaxTxnOps(s.settings.StateLimits.MaxTxnOps)
	var ops []statekv.Op
	if record.SpecFragments == 0 && record.ExceedsLimit(limit) {
		if !level.Enabled(rollout.FeatureDependencies) {
			return nil
		}
		fragments, err := record.SplitSpec(limit, most-1)
		if err != nil {
			slog.Error("job record unusable", "job", record.Spec.ID, "err", err)
			return nil
		}
		ops = fragments
	}
	ops = append(ops, statekv.Op{Set: job.RecordKey(record.Spec.ID), Value: *record})
	for k := range chunks {
		switch {
		case k == 0: // it is in the record
		case len(ops) < most:
			ops = append(ops, statekv.Op{Set: job.CompletedChunkKey(record.Spec.ID, k), Value: j.done.EncodeChunk(k)})
		default:
			delete(chunks, k)
			j.completion.dirtyChunks[k], j.completion.dirtySince = true, time.Now()
		}
	}
	return ops
}
