package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"

	"robinstack/internal/job"
)

// A submission that this controller cannot write now is answered with when to come back, and its
// connection is closed: another controller may have capacity. On a day with 16 controllers users
// that came while three were ready stayed with these for 20 s.
func TestRejectedSubmissionClosesConnection(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		submission := `{"id":"wk-1","job_class":"c","owner":"t","shape":"sweep","rank":"normal","pieces":1,` +
			`"cpus":1,"gpus":0,"mem_gb":1,"bundle":"i","pull_gb":1,"one_zone":false,"spread":false,` +
			`"loaners":true,"guess_s":5,"snapshot_every_s":0,"snapshot_s":0}`
		for _, reject := range []bool{true, false} {
			fixture.state.rejectTxns.Store(reject)
			request := httptest.NewRequest("POST", "/submissions", strings.NewReader(submission))
			request.Header.Set("Content-Type", "application/json")
			response, err := fixture.gateway.app.Test(request, -1)
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			code, retryAfter, closed := response.StatusCode, response.Header.Get("Retry-After"), response.Close
			if reject && (code != 503 || retryAfter != "1" || !closed) || !reject && (code != 201 || closed) {
				t.Errorf("rejected %v: %d, Retry-After %q, closed %v", reject, code, retryAfter, closed)
			}
		}
	})
}

// A repeated submission gets 200 with the status of then, whatever its dependencies are; what was
// accepted first stands.
func TestRepeatedSubmissions(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.enableDependencies()
		fixture.submit(201, "wk-1")
		fixture.submit(201, "wk-2", "wk-1")
		if a := fixture.submit(200, "wk-2", "wk-1"); a["status"] != job.Queued {
			t.Fatal(a)
		}
		fixture.submit(200, "wk-2") // it waits all the same
		fixture.expectStatus("wk-2", job.Queued)
		fixture.state.SetOutage(false, true) // its answer is lost, and its user tries again
		fixture.submit(200, "wk-3", "wk-2")
		fixture.state.SetOutage(false, false)
		fixture.cancel("wk-1")
		if a := fixture.submit(200, "wk-3", "wk-2"); a["status"] != job.Cancelled {
			t.Fatal(a)
		}
		if a := fixture.submit(201, "wk-4", "wk-3"); a["status"] != job.Queued {
			t.Fatal(a)
		}
		fixture.expectStatus("wk-4", job.Cancelled)
	})
}
