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
	// maxLookupAttempts bounds the attempts of one lookup; see errFinishedDuringLookup.
	maxLookupAttempts = 3
	// taskCountsTimeout bounds the call for the task counts, which are for display only.
	taskCountsTimeout = 300 * time.Millisecond
)

// jobStatus is the status of a job as users see it.
type jobStatus struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// finalStatus returns the status of a finished job.
func finalStatus(id string, final tombstone.Tombstone) jobStatus {
	status := jobStatus{ID: id, Status: final.Status}
	if final.Status == job.Done {
		status.Done = final.Tasks
	}
	return status
}

// errFinishedDuringLookup reports that a job has finished since its open record was read.
var errFinishedDuringLookup = fmt.Errorf("%w: job finished after its record was read", statekv.ErrRejected)

// lookup returns the status of a job. The error is statekv.ErrNotFound if the job was never
// accepted.
func (g *Gateway) lookup(ctx context.Context, id string) (status jobStatus, err error) {
	for range maxLookupAttempts {
		status, err = g.tryLookup(ctx, id)
		if !errors.Is(err, errFinishedDuringLookup) {
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

// lookupFinished returns the status of a job that has no open record.
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

// openRecord returns the record of an open job, or statekv.ErrNotFound. The read is linearizable, so
// that no response is older than one that any controller has given before.
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

// dependencyState reports whether an open job waits for its dependencies. If a dependency was
// cancelled, it returns the final status of the job, which applies at once, before a tombstone is
// written for the job.
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
			// The job has finished since its record was read, and users may have seen it as
			// cancelled long before that: queued would be an older status.
			return final, false, errFinishedDuringLookup
		}
		return final, false, nil // the record cannot be decoded, or the tracker does not have it yet
	}
	if result.State == dag.Cancelled {
		decoded, err := job.ParseRecord(record.Value)
		if err != nil {
			return final, false, err
		}
		return tombstone.Tombstone{Status: job.Cancelled, Tasks: decoded.Spec.Tasks}, true, nil
	}
	if len(result.MissingTombstones) > 0 {
		// A job whose tombstone is missing here may have been cancelled long ago.
		return final, true, fmt.Errorf(
			"%w: %d tombstones of jobs in its dependency chain not read yet",
			statekv.ErrRejected, len(result.MissingTombstones),
		)
	}
	return final, result.State != dag.Ready, nil
}

// taskCounts returns the task counts for display, from the job's scheduler, or zeros if they are
// not available.
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
