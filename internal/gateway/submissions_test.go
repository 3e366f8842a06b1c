package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"

	"robinstack/internal/job"
)

// A submission that this controller cannot write now is answered with Retry-After, and its
// connection is closed so that the retry can reach a controller with capacity. In a run with 16
// controllers, users that connected while only three were ready stayed with those for 20 s.
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
				t.Errorf("transactions rejected %v: got %d, Retry-After %q, closed %v; "+
					"want 503 on a closed connection if rejected, else 201 on an open one", reject, code, retryAfter, closed)
			}
		}
	})
}

// A repeated submission gets 200 with the current status, whichever dependencies it names. The
// submission that was accepted first stays in effect.
func TestRepeatedSubmissions(t *testing.T) {
	runWithGateway(t, func(fixture *gatewayFixture) {
		fixture.enableDependencies()
		fixture.submit(201, "wk-1")
		fixture.submit(201, "wk-2", "wk-1")
		if a := fixture.submit(200, "wk-2", "wk-1"); a["status"] != job.Queued {
			t.Fatalf("wk-2 again: got %v, want status %s", a, job.Queued)
		}
		fixture.submit(200, "wk-2") // wk-2 still depends on wk-1
		fixture.expectStatus("wk-2", job.Queued)
		fixture.state.SetOutage(false, true) // transactions are carried out, but their answers are lost
		fixture.submit(200, "wk-3", "wk-2")
		fixture.state.SetOutage(false, false)
		fixture.cancel("wk-1")
		if a := fixture.submit(200, "wk-3", "wk-2"); a["status"] != job.Cancelled {
			t.Fatalf("wk-3 again: got %v, want status %s", a, job.Cancelled)
		}
		if a := fixture.submit(201, "wk-4", "wk-3"); a["status"] != job.Queued {
			t.Fatalf("wk-4: got %v, want status %s", a, job.Queued)
		}
		fixture.expectStatus("wk-4", job.Cancelled)
	})
}
