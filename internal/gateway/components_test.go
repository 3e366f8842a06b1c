package gateway

import (
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/tombstone"
)

// A controller that has lost the state service and all other controllers, and not its workers: users
// are answered at once with when to come back, and the load balancer is sent elsewhere; what
// is known for ever is answered all the same. Guards against a second and a half of waiting for each
// request, and against staying ready because no other controller said that it is served.
func TestIsolatedFromAllButWorkers(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.submit(201, "wk-1")
		fixture.writeTombstone("wk-2", job.Done, tombstone.LegacyOnly)
		time.Sleep(time.Second)
		fixture.expectStatus("wk-2", job.Done)
		if code, _, _ := fixture.request("GET", "/ready", ""); code != 200 {
			t.Fatal(code)
		}
		fixture.state.SetOutage(true, false)
		time.Sleep(4 * time.Second)
		began := time.Now()
		fixture.submit(503, "wk-3")
		for _, request := range [][2]string{{"GET", "/submissions/wk-1"}, {"POST", "/submissions/wk-1/abort"}} {
			code, answer, retryAfter := fixture.request(request[0], request[1], "")
			if code != 503 || retryAfter == "" {
				t.Errorf("%v: %d %v", request, code, answer)
			}
		}
		if code, _, _ := fixture.request("GET", "/ready", ""); code != 503 {
			t.Errorf("ready: %d", code)
		}
		fixture.expectStatus("wk-2", job.Done)
		if took := time.Since(began); took > 0 {
			t.Errorf("its users waited %v", took)
		}
		fixture.state.SetOutage(false, false)
		time.Sleep(2 * time.Second)
		fixture.expectStatus("wk-1", job.Queued)
		if code, _, _ := fixture.request("GET", "/ready", ""); code != 200 {
			t.Error("it is back, and not ready")
		}
	})
}
