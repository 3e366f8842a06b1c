package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"robinstack/internal/dag"
	"robinstack/internal/job"
	"robinstack/internal/scheduler"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

const (
	// lookupAttempts bounds how often a lookup begins anew because its job finished meanwhile.
	lookupAttempts = 3
	// taskCountsTimeout bounds the call for the counts of tasks, which are for display only.
	taskCountsTimeout = 300 * time.Millisecond
)

// jobStatus is what a user sees of a job.
type jobStatus struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// finalStatus is the status of a finished job.
func finalStatus(id string, final tombstone.Tombstone) jobStatus {
	status := jobStatus{ID: id, Status: final.Status}
	if final.Status == job.Done {
		status.Done = final.Tasks
	}
	return status
}

// errFinishedMeanwhile says that a job has finished since its open record was read.
var errFinishedMeanwhile = fmt.Errorf("%w: the job is over since its record was read", statekv.ErrRejected)

// lookup finds a job's status. Its error is statekv.ErrNotFound where the job was never accepted.
func (g *Gateway) lookup(ctx context.Context, id string) (status jobStatus, err error) {
	for range lookupAttempts {
		status, err = g.tryLookup(ctx, id)
		if !errors.Is(err, errFinishedMeanwhile) {
			break
		}
	}
	return status, err
}

func (g *Gateway) tryLookup(ctx context.Context, id string) (jobStatus, error) {
	if final, ok := g.CachedTombstone(id); ok {
		return finalStatus(id, final), nil
	}
	record, err := g.openRecord(ctx, id)
	if errors.Is(err, statekv.ErrNotFound) {
		return g.lookupFinished(ctx, id)
	}
	if err != nil {
		return jobStatus{}, err
	}
	final, waiting, err := g.dependencyState(id, record)
	if err != nil {
		return jobStatus{}, err
	}
	if final.Status != "" {
		g.tombstones.put(id, final)
		return finalStatus(id, final), nil
	}
	status := jobStatus{ID: id, Status: job.Queued}
	if waiting {
		return status, nil
	}
	status.Done, status.Running = g.taskCounts(ctx, id, record)
	if status.Running > 0 {
		status.Status = job.Running
	}
	return status, nil
}

// lookupFinished finds the status of a job without an open record.
func (g *Gateway) lookupFinished(ctx context.Context, id string) (jobStatus, error) {
	if final, ok := g.CachedTombstone(id); ok {
		return finalStatus(id, final), nil
	}
	final, err := g.tombstoneLookup.Lookup(ctx, g.sessionFence, id, g.tombstones.put)
	if err != nil {
		return jobStatus{}, err
	}
	return finalStatus(id, final), nil
}

// openRecord returns the record of an open job as of now, so that no answer is older than one that
// any controller has given.
func (g *Gateway) openRecord(ctx context.Context, id string) (statekv.KV, error) {
	components := g.components.Load()
	if components == nil {
		return g.store.Get(ctx, job.RecordKey(id))
	}
	if err := components.Mirror.ReadIndex(ctx); err != nil {
		return statekv.KV{}, err
	}
	record, ok := components.Mirror.Get(job.RecordKey(id))
	if !ok {
		return record, statekv.ErrNotFound
	}
	return record, nil
}

// dependencyState tells whether an open job waits for others, or which final status it has because
// one that it depends on was cancelled: nothing need be written for that to be so.
func (g *Gateway) dependencyState(
	id string, record statekv.KV,
) (final tombstone.Tombstone, waiting bool, err error) {
	if !job.MayHaveDependencies(record.Value) {
		return final, false, nil
	}
	components := g.components.Load()
	if components == nil {
		return final, false, errNoSession
	}
	result, ok := components.DependencyTracker.Evaluate(id)
	if !ok {
		if _, open := components.Mirror.Get(record.Key); !open {
			// It has finished since its record was read, and users may have seen it as cancelled
			// long before that: then queued would be an older answer.
			return final, false, errFinishedMeanwhile
		}
		return final, false, nil // it cannot be decoded, or came a moment ago
	}
	if result.State == dag.Cancelled {
		decoded, err := job.ParseRecord(record.Value)
		if err != nil {
			return final, false, err
		}
		return tombstone.Tombstone{Status: job.Cancelled, Tasks: decoded.Spec.Tasks}, true, nil
	}
	if len(result.MissingTombstones) > 0 {
		// One of them may have been cancelled long ago.
		return final, true, fmt.Errorf("%w: the records of jobs before it are being read", statekv.ErrRejected)
	}
	return final, result.State != dag.Ready, nil
}

// taskCounts asks the job's scheduler for the numbers on display.
func (g *Gateway) taskCounts(ctx context.Context, id string, record statekv.KV) (done, running int) {
	components := g.components.Load()
	if components == nil {
		return 0, 0
	}
	if done, running, ok := components.Scheduler.Counts(id); ok {
		return done, running
	}
	decoded, err := job.ParseRecord(record.Value)
	if err != nil {
		components.Mirror.ReportUndecodable(record.Key, err)
		return 0, 0
	}
	shard, ok := components.Mirror.Get(statekv.JobShardPrefix + decoded.JobShard)
	holder, err := statekv.HolderOf(shard)
	if !ok || err != nil || holder.Host == g.settings.Host || !components.Session.Alive(holder) {
		return 0, 0
	}
	ctx, cancel := context.WithTimeout(ctx, taskCountsTimeout)
	defer cancel()
	var reply scheduler.CountsReply
	if err := components.Peers.Call(ctx, holder.Host, "Placer.Counts", id, &reply); err != nil {
		return 0, 0
	}
	return reply.Done, reply.Running
}
