package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"robinstack/internal/worker"
)

// workerLease is the state that a worker needs to decide which responses and commands it accepts,
// and when its lease expires.
type workerLease struct {
	epoch    uint64 // worker epoch, incremented each time the lease expires
	sequence uint64 // sequence number of the last heartbeat
	token    uint64 // highest fencing token seen

	// renewedAt is the time from which the lease runs: when the last answered heartbeat was sent,
	// when the worker came up, or when the previous lease expired. Zero: not up yet.
	renewedAt time.Time
}

// acceptsCommands reports whether the worker accepts commands with the given fencing token and
// worker epoch.
func (l *workerLease) acceptsCommands(token, epoch uint64) bool {
	return token >= l.token && epoch == l.epoch
}

// newHeartbeat returns the next heartbeat, without the fields of the machine and the tasks.
func (l *workerLease) newHeartbeat() worker.Heartbeat {
	l.sequence++
	return worker.Heartbeat{
		WorkerEpoch: l.epoch, Sequence: l.sequence, FencingToken: l.token, Tasks: []worker.Task{},
	}
}

// heartbeatTarget tells a worker which controller to send its next heartbeat to.
type heartbeatTarget struct {
	same bool   // the controller of the last heartbeat
	host string // if not same: controller to switch to; "": the next one in the rotation
}

// handleResponse handles the response to a heartbeat that was sent at sentAt in the given worker
// epoch. It returns the target of the next heartbeat. If the worker accepts the response,
// handleResponse renews the lease and returns the response, whose commands the caller must execute.
// Otherwise it returns nil.
func (l *workerLease) handleResponse(
	epoch uint64, sentAt time.Time, code int, body []byte,
) (heartbeatTarget, *worker.HeartbeatResponse) {
	switch code {
	case http.StatusOK:
		var response worker.HeartbeatResponse
		if json.Unmarshal(body, &response) != nil {
			return heartbeatTarget{}, nil
		}
		if !l.acceptsCommands(response.FencingToken, epoch) {
			return heartbeatTarget{same: true}, nil
		}
		l.renewedAt = sentAt
		return heartbeatTarget{same: true}, &response
	case http.StatusMisdirectedRequest:
		var owner struct {
			Host string `json:"home"`
		}
		_ = json.Unmarshal(body, &owner) // without a host, the worker tries the next controller
		return heartbeatTarget{host: owner.Host}, nil
	}
	return heartbeatTarget{}, nil
}

// Delays before the next heartbeat.
const (
	redirectDelay        = 50 * time.Millisecond  // after a redirect to another controller
	retryDelay           = time.Second            // before trying the next controller without a redirect
	minHeartbeatInterval = 500 * time.Millisecond // before a requested heartbeat, unless the regular delay is shorter
)

// controllerRotation selects the controller that a worker sends its heartbeats to.
type controllerRotation struct {
	hosts []string
	index int
}

func (c *controllerRotation) host() string { return c.hosts[c.index] }

// advance selects the controller for the next heartbeat and returns the delay before it. interval
// is the delay if the controller stays the same.
func (c *controllerRotation) advance(target heartbeatTarget, interval time.Duration) (pause time.Duration) {
	if target.same {
		return interval
	}
	for i, host := range c.hosts {
		if host == target.host && i != c.index {
			c.index = i
			return redirectDelay
		}
	}
	c.index = (c.index + 1) % len(c.hosts)
	return retryDelay
}

// jitter returns 0.75 to 1.25 times interval; random is a random number from 0 to 1.
func jitter(interval time.Duration, random float64) time.Duration {
	return time.Duration(float64(interval) * (0.75 + random/2))
}

// waitForHeartbeat waits until the next heartbeat is due. That is after pause, or after
// minHeartbeatInterval if that is shorter and a heartbeat is requested.
func waitForHeartbeat(ctx context.Context, pause time.Duration, requested <-chan struct{}) {
	earliest := time.Now().Add(min(pause, minHeartbeatInterval))
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-requested:
		Sleep(ctx, time.Until(earliest))
	}
}

// trySignal sends to a channel with a buffer of one. It does nothing if a signal is already
// pending.
func trySignal(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default: // a signal is already pending
	}
}

// heartbeatPath is the HTTP path of a controller that receives heartbeats.
const heartbeatPath = "/v1/report"

// heartbeatTimeout limits how long a worker waits for the response to a heartbeat.
const heartbeatTimeout = 4 * time.Second

// attemptKey returns a map key for an attempt at a task or job.
func attemptKey(id string, attempt uint64) string { return fmt.Sprint(id, " ", attempt) }
