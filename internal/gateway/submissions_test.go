package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// A submission that this controller cannot write now is answered with when to come back, and
// its connection is closed: another controller may have room. On a day with 16 controllers
// users that came while three were ready stayed with these for 20 s.
func TestRejectedSubmissionClosesConnection(t *testing.T) {
	runWithGateway(t, func(d *gatewayFixture) {
		submission := `{"id":"wk-1","job_class":"c","owner":"t","shape":"sweep","rank":"normal","pieces":1,"cpus":1,"gpus":0,"mem_gb":1,"bundle":"i","pull_gb":1,"one_zone":false,"spread":false,"loaners":true,"guess_s":5,"snapshot_every_s":0,"snapshot_s":0}`
		for _, refuse := range []bool{true, false} {
			d.state.rejectTxns.Store(refuse)
			request := httptest.NewRequest("POST", "/submissions", strings.NewReader(submission))
			request.Header.Set("Content-Type", "application/json")
			response, err := d.gateway.app.Test(request, -1)
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			code, again, closed := response.StatusCode, response.Header.Get("Retry-After"), response.Close
			if refuse && (code != 503 || again != "1" || !closed) || !refuse && (code != 201 || closed) {
				t.Errorf("refused %v: %d, Retry-After %q, closed %v", refuse, code, again, closed)
			}
		}
	})
}
