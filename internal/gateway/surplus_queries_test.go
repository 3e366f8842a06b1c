package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// exhaustedLookups is a state service whose share for lookups is used up.
type exhaustedLookups struct{ *emulator.StateService }

func (exhaustedLookups) Allow(kind statekv.RequestClass, _ int) bool {
	return kind != statekv.ClassLookup
}

// When users ask many times as often, surplus questions are refused at once, with
// the time to come back, and neither they nor questions about jobs that nobody
// submitted use up what submissions need. What is known for ever is answered.
func TestSurplusQueriesAreRejectedEarly(t *testing.T) {
	g := New(&config.Settings{Host: "host-0"}, exhaustedLookups{emulator.NewStateService()}, &cloud.Catalogue{}, func() (int, time.Duration) { return 0, 0 })
	ask := func(id string) (status int, retryAfter string) {
		resp, err := g.app.Test(httptest.NewRequest("GET", "/submissions/"+id, nil), -1)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.StatusCode, resp.Header.Get("Retry-After")
	}
	if code, again := ask("wk-1"); code != 503 || again == "" {
		t.Fatalf("a question beyond the share for lookups: %d, Retry-After %q", code, again)
	}
	g.tombstones.put("wk-2", tombstone.Tombstone{Status: job.Done, Tasks: 1})
	g.admission.inFlight = maxQueriesInFlight
	if code, again := ask("wk-1"); code != 503 || again == "" || g.rejectedQueries.Load() != 1 {
		t.Fatalf("a surplus question: %d, Retry-After %q, %d refused", code, again, g.rejectedQueries.Load())
	}
	if code, _ := ask("wk-2"); code != 200 {
		t.Fatalf("a question whose answer never changes: %d", code)
	}
}
