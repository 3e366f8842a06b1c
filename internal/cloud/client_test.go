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

// Only the cloud's own word means that there are no machines: taken for that, an outage would close
// a pool, and a request that may have been carried out would not be repeated under its ID.
func TestWhatCountsAsNoCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		status     int
		body       string
		noCapacity bool
	}{
		"no capacity":     {503, `{"error":"no capacity"}`, true},
		"an outage":       {503, `{"error":"trouble"}`, false},
		"malformed":       {503, `{"error":`, false},
		"too many":        {429, ``, false},
		"no JSON at all":  {200, `<html>`, false},
		"a list of names": {200, `{"hosts":[1,2]}`, false},
	} {
		client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			fmt.Fprint(w, c.body)
		})
		_, err := client.ScaleOut(t.Context(), ScaleOutRequest{RequestID: "r-1", Count: 3})
		if err == nil || errors.Is(err, ErrNoCapacity) != c.noCapacity {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A list comes in pages. One that breaks off is no list: machines that it does not show would be
// taken for gone. One that never ends by its own word ends where nothing more comes.
func TestMachineListIsPaged(t *testing.T) {
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
		t.Fatal(machines, err)
	}
	pages["m2"] = `{"hosts":[{"id":`
	if machines, err := client.Machines(t.Context()); err == nil {
		t.Fatalf("half a list counts as one: %v", machines)
	}
}
