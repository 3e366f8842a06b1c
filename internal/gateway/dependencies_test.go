package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// While not all controllers support dependencies, a submission with dependencies is answered with
// 503 at once; one without, or with an empty list, is accepted.
func TestDependenciesRequireClusterVersion(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.submit(201, "wk-1")
		fixture.submit(503, "wk-2", "wk-1")
		fixture.enableDependencies()
		fixture.submit(201, "wk-2", "wk-1")
		fixture.expectStatus("wk-2", job.Queued)
		// While an operator disables the feature, submissions with dependencies are not accepted.
		fixture.writeVersion(rollout.ClusterVersion{
			Schema:    1,
			Number:    2,
			Features:  []rollout.Feature{rollout.FeatureVersionGate, rollout.FeatureDependencies},
			Disabling: rollout.FeatureDependencies,
		})
		time.Sleep(time.Second)
		fixture.submit(503, "wk-3", "wk-1")
		fixture.submit(200, "wk-2", "wk-1")
	})
}

// A submission with dependencies must not be accepted if the cluster version is lowered while it is
// in flight. Otherwise, controllers that ignore its dependencies could join the cluster.
func TestSubmissionRacesVersionDowngrade(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.enableDependencies()
		fixture.submit(201, "wk-1")
		fixture.state.SetTxnLatency(300 * time.Millisecond)
		done := make(chan struct{})
		go func() {
			defer close(done)
			fixture.submit(503, "wk-2", "wk-1")
		}()
		time.Sleep(100 * time.Millisecond)
		fixture.state.SetTxnLatency(0)
		fixture.writeVersion(rollout.ClusterVersion{
			Schema:   1,
			Number:   1,
			Features: []rollout.Feature{rollout.FeatureVersionGate},
		})
		<-done
		if _, err := fixture.state.Get(fixture.ctx, job.RecordKey("wk-2")); err == nil {
			t.Error("wk-2 was accepted, want no record")
		}
	})
}

// A dependency that was never accepted is rejected, but only if that is certain. Any accepted job
// is a valid dependency, whatever its state, whichever controller accepted it and in whichever
// format it is stored. Services are the exception.
func TestDependenciesMustHaveBeenAccepted(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.enableDependencies()
		fixture.submit(201, "wk-1")
		fixture.submit(422, "wk-2", "wk-2")
		fixture.submit(422, "wk-2", "wk-1", "wk-404")
		if code, _, _ := fixture.request("GET", "/submissions/wk-2", ""); code != 404 {
			t.Fatalf("query of a rejected job: got %d, want 404", code)
		}
		// Another controller has just accepted wk-11; wk-12 to wk-14 finished long ago and have
		// tombstones in three formats.
		fixture.state.SetTxnLatency(0)
		fixture.writeRecord(job.Spec{ID: "wk-11", Tasks: 1})
		fixture.write(statekv.Op{
			Set:   tombstone.LegacyKey("wk-12"),
			Value: map[string]any{"status": "done", "tasks": 1},
		})
		fixture.writeTombstone("wk-13", job.Done, tombstone.CompactOnly)
		fixture.writeTombstone("wk-14", job.Done, tombstone.LegacyAndCompact)
		fixture.submit(201, "wk-3", "wk-11", "wk-12", "wk-13", "wk-14", "wk-1", "wk-1")
		fixture.writeRecord(job.Spec{ID: "wk-15", Tasks: 1, Shape: job.Service})
		time.Sleep(time.Second)
		answer := fixture.submit(422, "wk-4", "wk-15")
		if !strings.Contains(fmt.Sprint(answer["error"]), "service") {
			t.Errorf("dependency on a service: got %v, want an error that names the service", answer)
		}
		// While the state service is down, dependencies are neither accepted nor rejected.
		fixture.state.SetOutage(true, false)
		fixture.submit(503, "wk-5", "wk-404")
		fixture.submit(503, "wk-5", "wk-1")
		fixture.state.SetOutage(false, false)
		// 400 dependencies, stored in spec fragments; then the same with one job that was never
		// submitted.
		formats := []tombstone.Formats{tombstone.LegacyOnly, tombstone.CompactOnly}
		var dependencies []string
		for k := range 400 {
			dependencies = append(dependencies, fmt.Sprintf("wk-9%05d", k*211%100000))
			fixture.writeTombstone(dependencies[k], job.Done, formats[k%2])
		}
		fixture.submit(201, "wk-6", dependencies...)
		fixture.submit(200, "wk-6", dependencies...)
		fixture.submit(422, "wk-7", append(dependencies, "wk-404")...)
		if violations := fixture.state.SizeViolations(); len(violations) > 0 {
			t.Errorf("got transactions over the size limits: %v", violations)
		}
	})
}

// A job with an undecodable dependency can be submitted and queried. Guards against answering its
// queries with 503 for ever, so that the job would count as lost.
func TestDamagedDependencyRecord(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.enableDependencies()
		fixture.write(statekv.Op{Set: tombstone.Key("wk-1"), Value: "mangled"})
		fixture.write(statekv.Op{Set: job.RecordKey("wk-2"), Value: "mangled"})
		time.Sleep(time.Second)
		fixture.submit(201, "wk-3", "wk-1")
		fixture.submit(201, "wk-4", "wk-2", "wk-3")
		time.Sleep(3 * time.Second)
		fixture.expectStatus("wk-2", job.Queued)
		fixture.expectStatus("wk-3", job.Queued)
		fixture.expectStatus("wk-4", job.Queued)
	})
}
