package worker

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Only a whole heartbeat that answers the command proves anything: what came of one that was
// answered otherwise stays unknown, and the caller fences it off.
func TestResponsesToCommands(t *testing.T) {
	const heartbeat = `{"host":"m1","tenure":1,"serial":7,"baton":9,"pieces":[]}`
	for name, c := range map[string]struct {
		status   int
		body     string
		executed bool
		fails    bool
	}{
		"carried out":            {200, heartbeat, true, false},
		"a higher fencing token": {409, heartbeat, false, false},
		"no token":               {400, heartbeat, false, true},
		"a fault":                {500, heartbeat, false, true},
		"cut":                    {200, heartbeat[:30], false, true},
		"numbers as strings":     {200, `{"host":"m1","serial":"7"}`, false, true},
		"counts out of range":    {200, `{"host":"m1","serial":-1}`, false, true},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			fmt.Fprint(w, c.body)
		}))
		answer, executed, err := NewClient().Send(t.Context(), strings.TrimPrefix(server.URL, "http://"), 9, 1, nil)
		server.Close()
		if executed != c.executed || (err != nil) != c.fails || (answer == nil) != c.fails {
			t.Errorf("%s: %v %v %v", name, answer, executed, err)
		}
	}
}
