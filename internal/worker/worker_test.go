package worker

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Only a whole report that answers the command proves anything: what came of one
// that was answered otherwise stays open, and the caller fences it off.
func TestAnswersToCommands(t *testing.T) {
	const report = `{"host":"m1","tenure":1,"serial":7,"baton":9,"pieces":[]}`
	for name, c := range map[string]struct {
		status   int
		body     string
		executed bool
		fails    bool
	}{
		"carried out":         {200, report, true, false},
		"a later token":       {409, report, false, false},
		"no token":            {400, report, false, true},
		"a fault":             {500, report, false, true},
		"cut":                 {200, report[:30], false, true},
		"numbers as strings":  {200, `{"host":"m1","serial":"7"}`, false, true},
		"counts out of range": {200, `{"host":"m1","serial":-1}`, false, true},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			fmt.Fprint(w, c.body)
		}))
		r, executed, err := NewClient().Send(t.Context(), strings.TrimPrefix(s.URL, "http://"), 9, 1, nil)
		s.Close()
		if executed != c.executed || (err != nil) != c.fails || (r == nil) != c.fails {
			t.Errorf("%s: %v %v %v", name, r, executed, err)
		}
	}
}
