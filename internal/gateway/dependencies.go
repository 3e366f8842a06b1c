package gateway

import (
	"context"
	"encoding/json"

	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// dependencyRejection says why a submission may not name the jobs that it waits for, or "". An error
// says that this cannot be told now.
//
// Between this look and the write of the new record any of those jobs may end, be
// cancelled, or have its record written in another form: what the new job is follows
// from their records whenever they are looked at, so nothing has to stay as it was.
// Only that a job was accepted matters, and that never changes.
func (g *Gateway) dependencyRejection(ctx context.Context, l *Components, spec *job.Spec) (string, error) {
	var unknown []string
	for _, id := range spec.WaitsOn {
		if _, ok := g.CachedTombstone(id); ok {
			continue
		}
		kv, ok := l.Mirror.Get(job.RecordKey(id))
		if !ok {
			unknown = append(unknown, id)
			continue
		}
		if storedShape(kv) == job.Service {
			return "waits_on: " + id + " is a service", nil
		}
	}
	return g.firstNeverAccepted(ctx, l, unknown)
}

// storedShape reads the shape of a stored job; "" where it is in pieces, which no service is
// that names no others, or cannot be read.
func storedShape(kv statekv.KV) string {
	var r struct {
		Spec struct {
			Shape string `json:"shape"`
		} `json:"spec"`
	}
	if json.Unmarshal(kv.Value, &r) != nil {
		return ""
	}
	return r.Spec.Shape
}

// comparesPerDependency is how many conditions it takes to see that a job was never accepted.
const comparesPerDependency = 3

// firstNeverAccepted names a job that was never accepted, or "" if all were. Another
// controller may have accepted one a moment ago, one may have ended long ago, and its
// record may be changing its form: only a transaction that finds it absent in all
// places at one moment, while this life goes on, tells that it was never accepted.
func (g *Gateway) firstNeverAccepted(ctx context.Context, l *Components, ids []string) (string, error) {
	most := (4*g.settings.StateLimits.MaxTxnOps - 1) / comparesPerDependency
	for len(ids) > 0 {
		group := ids[:min(most, len(ids))]
		ids = ids[len(group):]
		_, never, err := tombstone.PartitionByPresence(ctx, g.store, l.Session.Fence(), group, func(id string) []statekv.Compare {
			return append(tombstone.AbsentCompares(id), statekv.Compare{Key: job.RecordKey(id)})
		})
		if err != nil {
			return "", err
		}
		if len(never) > 0 {
			return "waits_on: " + never[0] + " was never accepted", nil
		}
	}
	return "", nil
}
