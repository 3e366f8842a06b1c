package cloud

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func client(t *testing.T, h http.HandlerFunc) *Client {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return NewClient(strings.TrimPrefix(s.URL, "http://"), 1000)
}

// Only the cloud's own word means that there are no machines: taken for that, an
// outage would shut a pool, and a rental that may have been carried out would not
// be repeated under its name.
func TestWhatCountsAsNoCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
		none   bool
	}{
		"no capacity":     {503, `{"error":"no capacity"}`, true},
		"an outage":       {503, `{"error":"trouble"}`, false},
		"malformed":       {503, `{"error":`, false},
		"too many":        {429, ``, false},
		"no JSON at all":  {200, `<html>`, false},
		"a list of names": {200, `{"hosts":[1,2]}`, false},
	} {
		_, err := client(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			fmt.Fprint(w, c.body)
		}).ScaleOut(t.Context(), ScaleOutRequest{RequestID: "r-1", Count: 3})
		if err == nil || errors.Is(err, ErrNoCapacity) != c.none {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A list comes in pages. One that breaks off is no list: machines that it does not
// show would be taken for gone. One that never ends by its own word ends where
// nothing more comes.
func TestListsArePaged(t *testing.T) {
	pages := map[string]string{
		"":   `{"hosts":[{"id":"m1"},{"id":"m2"}],"truncated":true}`,
		"m2": `{"hosts":[{"id":"m3"}],"truncated":true}`,
		"m3": `{"hosts":[],"truncated":true}`,
	}
	c := client(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, pages[r.URL.Query().Get("since")]) })
	all, err := c.Machines(t.Context())
	if err != nil || len(all) != 3 || all[2].Name != "m3" {
		t.Fatal(all, err)
	}
	pages["m2"] = `{"hosts":[{"id":`
	if all, err := c.Machines(t.Context()); err == nil {
		t.Fatalf("half a list counts as one: %v", all)
	}
}
