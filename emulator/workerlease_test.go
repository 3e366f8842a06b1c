package emulator

import (
	"net/http"
	"testing"
	"time"
)

// A worker takes responses of its own epoch under its highest fencing token only, renews its
// lease as of when the heartbeat was sent, and goes where it is redirected.
func TestWorkerLeaseAcceptsResponses(t *testing.T) {
	sent := time.Now()
	for _, c := range []struct {
		name    string
		epoch   uint64
		code    int
		body    string
		next    redirect
		renewed bool
	}{
		{"an answer", 2, http.StatusOK, `{"baton":7,"orders":[]}`, redirect{stay: true}, true},
		{"a lower token", 2, http.StatusOK, `{"baton":6,"orders":[]}`, redirect{stay: true}, false},
		{"an earlier epoch", 1, http.StatusOK, `{"baton":7,"orders":[]}`, redirect{stay: true}, false},
		{"no JSON", 2, http.StatusOK, `{`, redirect{}, false},
		{"another owner", 2, http.StatusMisdirectedRequest, `{"home":"host-1"}`, redirect{host: "host-1"}, false},
		{"no owner", 2, http.StatusMisdirectedRequest, ``, redirect{}, false},
		{"no answer", 2, 0, ``, redirect{}, false},
	} {
		l := workerLease{epoch: 2, token: 7}
		next, response := l.accept(c.epoch, sent, c.code, []byte(c.body))
		if next != c.next || (response != nil) != c.renewed || l.renewedAt.Equal(sent) != c.renewed {
			t.Errorf("%s: %+v, %+v, renewed at %v", c.name, next, response, l.renewedAt)
		}
	}
}

// A worker stays with its controller, goes at once to the one that it is redirected to, and
// otherwise tries the others in turn.
func TestControllerRotation(t *testing.T) {
	c := controllerRotation{hosts: []string{"host-0", "host-1", "host-2"}}
	const interval = 3 * time.Second
	for _, step := range []struct {
		to    redirect
		host  string
		pause time.Duration
	}{
		{redirect{stay: true}, "host-0", interval},
		{redirect{host: "host-2"}, "host-2", redirectPause},
		{redirect{host: "host-2"}, "host-0", retryPause}, // to itself: it does not know better
		{redirect{host: "host-9"}, "host-1", retryPause},
		{redirect{}, "host-2", retryPause},
	} {
		if pause := c.next(step.to, interval); pause != step.pause || c.host() != step.host {
			t.Errorf("%+v: %s after %v, not %s after %v", step.to, c.host(), pause, step.host, step.pause)
		}
	}
}
