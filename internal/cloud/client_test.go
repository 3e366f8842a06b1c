package cloud

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return NewClient(strings.TrimPrefix(server.URL, "http://"), 1000)
}

// Guards against taking any other error for a lack of capacity. If an outage were taken for it, the
// autoscaler would stop using the pool for a while, and would not repeat the request under the same
// ID although the cloud may have carried it out.
func TestOnlyExplicitAnswerIsErrNoCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		status     int
		body       string
		noCapacity bool
	}{
		"no capacity":                 {503, `{"error":"no capacity"}`, true},
		"other error with status 503": {503, `{"error":"trouble"}`, false},
		"truncated body":              {503, `{"error":`, false},
		"too many requests":           {429, ``, false},
		"not JSON":                    {200, `<html>`, false},
		"names of the wrong type":     {200, `{"hosts":[1,2]}`, false},
	} {
		client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			fmt.Fprint(w, c.body)
		})
		_, err := client.ScaleOut(t.Context(), ScaleOutRequest{RequestID: "r-1", Count: 3})
		if err == nil || errors.Is(err, ErrNoCapacity) != c.noCapacity {
			t.Errorf("%s: got error %v, want ErrNoCapacity: %t", name, err, c.noCapacity)
		}
	}
}

// The list of machines arrives in pages. An incomplete list must be an error, because the missing
// machines would be taken for deleted. An empty page ends the list even if it says that more
// follow.
func TestMachinesReadsAllPages(t *testing.T) {
	pages := map[string]string{
		"":   `{"hosts":[{"id":"m1"},{"id":"m2"}],"truncated":true}`,
		"m2": `{"hosts":[{"id":"m3"}],"truncated":true}`,
		"m3": `{"hosts":[],"truncated":true}`,
	}
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, pages[r.URL.Query().Get("since")])
	})
	machines, err := client.Machines(t.Context())
	if err != nil || len(machines) != 3 || machines[2].Name != "m3" {
		t.Fatalf("got machines %v, error %v; want m1, m2 and m3", machines, err)
	}
	pages["m2"] = `{"hosts":[{"id":`
	if machines, err := client.Machines(t.Context()); err == nil {
		t.Fatalf("got the incomplete list %v without an error", machines)
	}
}
