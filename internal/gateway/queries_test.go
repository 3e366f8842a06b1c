package gateway

import (
	"net/http/httptest"
	"testing"

	"robinstack/emulator"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// exhaustedLookups is a state service whose share of requests for lookups is used up.
type exhaustedLookups struct{ *emulator.StateService }

func (exhaustedLookups) Allow(class statekv.RequestClass, _ int) bool {
	return class != statekv.ClassLookup
}

// Under overload, surplus queries are rejected at once with Retry-After, so that neither they nor
// queries for unknown jobs use up what submissions need. Cached final statuses are still returned.
func TestSurplusQueriesAreRejectedAtOnce(t *testing.T) {
	state := exhaustedLookups{emulator.NewStateService()}
	g := New(&config.Settings{Host: "host-0"}, state, &cloud.Catalogue{}, noPauses)
	query := func(id string) (status int, retryAfter string) {
		t.Helper()
		response, err := g.app.Test(httptest.NewRequest("GET", "/submissions/"+id, nil), -1)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		return response.StatusCode, response.Header.Get("Retry-After")
	}
	if code, retryAfter := query("wk-1"); code != 503 || retryAfter == "" {
		t.Fatalf("query beyond the lookup share: got %d, Retry-After %q; want 503 with Retry-After", code, retryAfter)
	}
	g.tombstones.put("wk-2", tombstone.Tombstone{Status: job.Done, Tasks: 1})
	g.admission.inFlight = maxQueriesInFlight
	if code, retryAfter := query("wk-1"); code != 503 || retryAfter == "" || g.rejectedQueries.Load() != 1 {
		t.Fatalf("surplus query: got %d, Retry-After %q, %d rejected; want 503 with Retry-After, 1 rejected",
			code, retryAfter, g.rejectedQueries.Load())
	}
	if code, _ := query("wk-2"); code != 200 {
		t.Fatalf("query of a cached final status: got %d, want 200", code)
	}
}
