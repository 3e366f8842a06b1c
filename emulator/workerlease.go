package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"robinstack/internal/worker"
)

// workerLease is what a worker knows of who may command it, and until when.
type workerLease struct {
	epoch    uint64 // raised whenever the lease expires
	sequence uint64 // of its heartbeats
	token    uint64 // the highest fencing token that it has seen

	// renewedAt is when the last heartbeat that was answered was sent; zero: the worker is
	// not up yet.
	renewedAt time.Time
}

// admits reports whether commands under a fencing token and for a worker epoch are carried
// out.
func (l *workerLease) admits(token, epoch uint64) bool {
	return token >= l.token && epoch == l.epoch
}

// beginHeartbeat is the worker's next heartbeat, without its machine and tasks.
func (l *workerLease) beginHeartbeat() worker.Heartbeat {
	l.sequence++
	return worker.Heartbeat{
		WorkerEpoch: l.epoch, Sequence: l.sequence, FencingToken: l.token, Tasks: []worker.Task{},
	}
}

// redirect is where a worker sends its next heartbeat.
type redirect struct {
	stay bool
	host string // of a controller; "": any other
}

// accept takes the response to a heartbeat of a worker epoch that was sent at some time, and
// says where to send the next one. A response that the worker must drop is nil; any other
// renews the lease, and its commands are to be carried out under its fencing token.
func (l *workerLease) accept(
	epoch uint64, sent time.Time, code int, body []byte,
) (redirect, *worker.HeartbeatResponse) {
	switch code {
	case http.StatusOK:
		var r worker.HeartbeatResponse
		if json.Unmarshal(body, &r) != nil {
			return redirect{}, nil
		}
		if !l.admits(r.FencingToken, epoch) {
			return redirect{stay: true}, nil
		}
		l.renewedAt = sent
		return redirect{stay: true}, &r
	case http.StatusMisdirectedRequest:
		var owner struct {
			Host string `json:"home"`
		}
		_ = json.Unmarshal(body, &owner) // without a host the worker tries the next one
		return redirect{host: owner.Host}, nil
	}
	return redirect{}, nil
}

// How long a worker waits before its next heartbeat.
const (
	redirectPause = 50 * time.Millisecond  // to the controller that it was sent to
	retryPause    = time.Second            // to the next one, after none answered
	minPause      = 500 * time.Millisecond // at most, if something has changed meanwhile
)

// controllerRotation is which of the controllers a worker sends its heartbeats to.
type controllerRotation struct {
	hosts []string
	at    int
}

func (c *controllerRotation) host() string { return c.hosts[c.at] }

// next goes on to the controller of the next heartbeat, and returns how long to wait before
// it. interval is the wait between heartbeats to the same one.
func (c *controllerRotation) next(to redirect, interval time.Duration) (pause time.Duration) {
	if to.stay {
		return interval
	}
	for k, host := range c.hosts {
		if host == to.host && k != c.at {
			c.at = k
			return redirectPause
		}
	}
	c.at = (c.at + 1) % len(c.hosts)
	return retryPause
}

// jitter draws a heartbeat interval from three quarters to five quarters of what is usual.
func jitter(interval time.Duration, random float64) time.Duration {
	return time.Duration(float64(interval) * (0.75 + random/2))
}

// waitForHeartbeat waits until the next heartbeat is due: after pause, or sooner if the
// state of a task changes.
func waitForHeartbeat(ctx context.Context, pause time.Duration, changed <-chan struct{}) {
	earliest := time.Now().Add(min(pause, minPause))
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
		sleep(ctx, time.Until(earliest))
	}
}

// notify has the next heartbeat come sooner. changed has room for one notification.
func notify(changed chan<- struct{}) {
	select {
	case changed <- struct{}{}:
	default: // one is there already
	}
}

// Heartbeats go to this path of a controller.
const heartbeatPath = "/v1/report"

// heartbeatTimeout is how long a worker waits for the response to its heartbeat.
const heartbeatTimeout = 4 * time.Second

// attemptKey names an attempt at a task or a gang among a machine's or a cloud's.
func attemptKey(id string, attempt uint64) string { return fmt.Sprint(id, " ", attempt) }
