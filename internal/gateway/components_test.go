package gateway

import (
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/tombstone"
)

// A controller that has lost the state service and all other controllers, but not its workers,
// answers user requests with Retry-After at once and is not ready; cached final statuses are still
// returned. Guards against 1.5 s of waiting for each request, and against a controller that stays
// ready because no other controller reports that it reaches the state service.
func TestIsolatedControllerRejectsAtOnce(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.submit(201, "wk-1")
		fixture.writeTombstone("wk-2", job.Done, tombstone.LegacyOnly)
		time.Sleep(time.Second)
		fixture.expectStatus("wk-2", job.Done)
		if code, _, _ := fixture.request("GET", "/ready", ""); code != 200 {
			t.Fatalf("ready before the outage: got %d, want 200", code)
		}
		fixture.state.SetOutage(true, false)
		time.Sleep(4 * time.Second)
		began := time.Now()
		fixture.submit(503, "wk-3")
		for _, request := range [][2]string{{"GET", "/submissions/wk-1"}, {"POST", "/submissions/wk-1/abort"}} {
			code, answer, retryAfter := fixture.request(request[0], request[1], "")
			if code != 503 || retryAfter == "" {
				t.Errorf("%v: got %d %v, Retry-After %q; want 503 with Retry-After", request, code, answer, retryAfter)
			}
		}
		if code, _, _ := fixture.request("GET", "/ready", ""); code != 503 {
			t.Errorf("ready during the outage: got %d, want 503", code)
		}
		fixture.expectStatus("wk-2", job.Done)
		if elapsed := time.Since(began); elapsed > 0 {
			t.Errorf("requests during the outage took %v, want immediate answers", elapsed)
		}
		fixture.state.SetOutage(false, false)
		time.Sleep(2 * time.Second)
		fixture.expectStatus("wk-1", job.Queued)
		if code, _, _ := fixture.request("GET", "/ready", ""); code != 200 {
			t.Errorf("ready after the outage: got %d, want 200", code)
		}
	})
}
