package gateway

import (
	"context"
	"encoding/json"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// comparesPerDependency is how many compares it takes to see that a job was never accepted.
const comparesPerDependency = 3

// checkDependencies returns nil if a submission may name the jobs that it waits for, a permanent
// error if not, and errUndecided if that cannot be decided now.
//
// Between this look and the write of the new record any of those jobs may finish, be cancelled, or
// have its record written in another format: what the new job is follows from their records
// whenever they are looked at, so nothing has to stay as it was. Only that a job was accepted
// matters, and that never changes.
func (g *Gateway) checkDependencies(ctx context.Context, components *Components, spec *job.Spec) error {
	var unknown []string
	for _, id := range spec.WaitsOn {
		if _, ok := g.CachedTombstone(id); ok {
			continue
		}
		record, ok := components.Mirror.Get(job.RecordKey(id))
		if !ok {
			unknown = append(unknown, id)
			continue
		}
		if storedShape(record) == job.Service {
			return &requestError{unschedulable, "waits_on: " + id + " is a service"}
		}
	}
	neverAccepted, err := g.findNeverAccepted(ctx, components, unknown)
	if err != nil {
		return undecidedSubmission(spec.ID, err)
	}
	if neverAccepted != "" {
		return &requestError{unschedulable, "waits_on: " + neverAccepted + " was never accepted"}
	}
	return nil
}

// storedShape reads the shape of a stored job; "" where its spec is split into fragments, which no
// service is that names no others, or cannot be decoded.
func storedShape(record statekv.KV) string {
	var stored struct {
		Spec struct {
			Shape string `json:"shape"`
		} `json:"spec"`
	}
	if json.Unmarshal(record.Value, &stored) != nil {
		return ""
	}
	return stored.Spec.Shape
}

// findNeverAccepted names one of the jobs that was never accepted, or "" if all were. Another
// controller may have accepted one a moment ago, one may have finished long ago, and its record
// may be under migration: only a transaction that finds it absent in all places at one moment,
// while this session goes on, proves that it was never accepted.
func (g *Gateway) findNeverAccepted(ctx context.Context, components *Components, ids []string) (string, error) {
	fence := components.Session.Fence()
	batchSize := (g.settings.StateLimits.MaxCompares() - 1) / comparesPerDependency // one is the fence
	for len(ids) > 0 {
		batch := ids[:min(batchSize, len(ids))]
		ids = ids[len(batch):]
		_, neverAccepted, err := tombstone.PartitionByPresence(ctx, g.store, fence, batch, absentJobCompares)
		if err != nil {
			return "", err
		}
		if len(neverAccepted) > 0 {
			return neverAccepted[0], nil
		}
	}
	return "", nil
}

// absentJobCompares are the compares that hold where a job has neither a tombstone nor a record.
func absentJobCompares(id string) []statekv.Compare {
	return append(tombstone.AbsentCompares(id), statekv.Compare{Key: job.RecordKey(id)})
}
