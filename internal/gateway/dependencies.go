package gateway

import (
	"context"
	"encoding/json"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// comparesPerDependency is the number of compares that absentJobCompares returns.
const comparesPerDependency = 3

// checkDependencies returns nil if a submission may depend on the jobs that it names, a permanent
// error if it may not, and errOutcomeUnknown if that cannot be decided now.
//
// Between this check and the write of the new record, a dependency may finish, be cancelled, or
// have its tombstone migrated to another format. That is harmless, because the state of the new job
// is evaluated from its dependencies' current records each time. The check depends only on whether
// a job was accepted, and that never changes.
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
		return submissionOutcomeUnknown(spec.ID, err)
	}
	if neverAccepted != "" {
		return &requestError{unschedulable, "waits_on: " + neverAccepted + " was never accepted"}
	}
	return nil
}

// storedShape returns the shape of a stored job, or "" if its record cannot be decoded or its spec
// is split into fragments: a service with a split spec is not recognized.
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

// findNeverAccepted returns one of the jobs that was never accepted, or "" if all were accepted.
// Another controller may have accepted a job a moment ago, the job may have finished long ago, or
// its tombstone may be under migration. Only a transaction that finds all keys of the job absent at
// one moment during this session proves that the job was never accepted.
func (g *Gateway) findNeverAccepted(ctx context.Context, components *Components, ids []string) (string, error) {
	fence := components.Session.Fence()
	batchSize := (g.settings.StateLimits.MaxCompares() - 1) / comparesPerDependency // one compare is the fence
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

// absentJobCompares returns the compares that hold if a job has neither a tombstone nor a record.
func absentJobCompares(id string) []statekv.Compare {
	return append(tombstone.AbsentCompares(id), statekv.Compare{Key: job.RecordKey(id)})
}
