package emulator

import (
	"net/http"
	"testing"
	"time"
)

// A worker must accept only responses for its worker epoch that do not have a lower fencing token
// than the highest one seen, must renew its lease from the time at which the heartbeat was sent,
// and must follow redirects.
func TestWorkerLeaseHandlesResponses(t *testing.T) {
	sentAt := time.Now()
	for _, test := range []struct {
		name    string
		epoch   uint64
		code    int
		body    string
		target  heartbeatTarget
		renewed bool
	}{
		{"a valid response", 2, http.StatusOK, `{"baton":7,"orders":[]}`, heartbeatTarget{same: true}, true},
		{"a lower token", 2, http.StatusOK, `{"baton":6,"orders":[]}`, heartbeatTarget{same: true}, false},
		{"an earlier epoch", 1, http.StatusOK, `{"baton":7,"orders":[]}`, heartbeatTarget{same: true}, false},
		{"invalid JSON", 2, http.StatusOK, `{`, heartbeatTarget{}, false},
		{"an owner", 2, http.StatusMisdirectedRequest, `{"home":"host-1"}`, heartbeatTarget{host: "host-1"}, false},
		{"no owner", 2, http.StatusMisdirectedRequest, ``, heartbeatTarget{}, false},
		{"no response", 2, 0, ``, heartbeatTarget{}, false},
	} {
		lease := workerLease{epoch: 2, token: 7}
		target, response := lease.handleResponse(test.epoch, sentAt, test.code, []byte(test.body))
		if target != test.target || (response != nil) != test.renewed || lease.renewedAt.Equal(sentAt) != test.renewed {
			t.Errorf("%s: got target %+v, response %+v, lease renewed at %v; want target %+v, lease renewed: %v",
				test.name, target, response, lease.renewedAt, test.target, test.renewed)
		}
	}
}

// A worker must stay with a controller that answers, switch at once to a controller that it is
// redirected to, and otherwise try the controllers in turn.
func TestControllerRotation(t *testing.T) {
	rotation := controllerRotation{hosts: []string{"host-0", "host-1", "host-2"}}
	const interval = 3 * time.Second
	for _, step := range []struct {
		target heartbeatTarget
		host   string
		pause  time.Duration
	}{
		{heartbeatTarget{same: true}, "host-0", interval},
		{heartbeatTarget{host: "host-2"}, "host-2", redirectDelay},
		{heartbeatTarget{host: "host-2"}, "host-0", retryDelay}, // the sender of the redirect
		{heartbeatTarget{host: "host-9"}, "host-1", retryDelay},
		{heartbeatTarget{}, "host-2", retryDelay},
	} {
		if pause := rotation.advance(step.target, interval); pause != step.pause || rotation.host() != step.host {
			t.Errorf("target %+v: got %s after %v, want %s after %v",
				step.target, rotation.host(), pause, step.host, step.pause)
		}
	}
}
