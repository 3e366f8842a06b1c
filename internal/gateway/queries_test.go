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

// exhaustedLookups is a state service whose share for lookups is used up.
type exhaustedLookups struct{ *emulator.StateService }

func (exhaustedLookups) Allow(class statekv.RequestClass, _ int) bool {
	return class != statekv.ClassLookup
}

// When users ask many times as often, surplus queries are rejected at once, with the time to come
// back, and neither they nor queries about jobs that nobody submitted use up what submissions
// need. What is known for ever is answered.
func TestSurplusQueriesAreRejectedEarly(t *testing.T) {
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
		t.Fatalf("a query beyond the share for lookups: %d, Retry-After %q", code, retryAfter)
	}
	g.tombstones.put("wk-2", tombstone.Tombstone{Status: job.Done, Tasks: 1})
	g.admission.inFlight = maxQueriesInFlight
	if code, retryAfter := query("wk-1"); code != 503 || retryAfter == "" || g.rejectedQueries.Load() != 1 {
		t.Fatalf("a surplus query: %d, Retry-After %q, %d rejected", code, retryAfter, g.rejectedQueries.Load())
	}
	if code, _ := query("wk-2"); code != 200 {
		t.Fatalf("a query whose answer never changes: %d", code)
	}
}
