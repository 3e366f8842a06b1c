package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	sharedLimit  = 72.0                  // limit that the controllers share, changes per second
	serviceLimit = 80.0                  // limit of the service per second, with a burst of one second's worth
	step         = 10 * time.Millisecond // of the simulated clock
	rounding     = 1e-9                  // error of floating-point sums
)

// controller is a simulated controller.
type controller struct {
	host         string
	share        *Share
	bucket       *TokenBucket
	want         float64 // changes per second
	backlog      float64
	hasSession   bool      // whether its session key exists in the state service
	stalledUntil time.Time // end of the stall; the controller's clock keeps running
	partitioned  bool      // whether it is partitioned from the allocator
	nextReport   time.Time
	changes      int
	sessionEnd   time.Time // end of its latest ended session
	sessionStart time.Time // start of its latest session
}

// hadSession reports whether the controller had a session at a recent time.
func (ctrl *controller) hadSession(at time.Time) bool {
	if ctrl.hasSession && !at.Before(ctrl.sessionStart) {
		return true
	}
	return at.Before(ctrl.sessionEnd)
}

// scenarioStart is an arbitrary time.
var scenarioStart = time.Unix(1000, 0)

// message is a report or a grant in transit.
type message struct {
	arrival, sent time.Time
	report        *DemandReport
	grant         *Grant
	to            *controller
	share         *Share // share of the process that sent the report
}

// cluster simulates controllers, of which one at a time runs the allocator, and a state service
// that rejects changes beyond its limit. Its clock advances in steps.
type cluster struct {
	t               *testing.T
	rng             *rand.Rand
	now             time.Time
	controllers     []*controller
	allocator       *Allocator
	epoch           uint64
	leaderStart     time.Time
	leader          int // index of the leader, -1 if there is none
	messages        []message
	service         *TokenBucket
	rejected        int
	viewAge         time.Duration
	configuredLimit float64 // limit that controllers read when they start
	maxAllowed      float64 // largest allowed sum of all rates
}

// newCluster returns a cluster of n controllers, led by the first one.
func newCluster(t *testing.T, n int, seed uint64) *cluster {
	t.Helper()
	c := &cluster{
		t:               t,
		rng:             rand.New(rand.NewPCG(seed, 7)),
		now:             scenarioStart,
		leader:          -1,
		configuredLimit: sharedLimit,
		maxAllowed:      sharedLimit,
	}
	c.service = NewTokenBucket(serviceLimit, serviceLimit, c.now)
	for k := range n {
		c.controllers = append(c.controllers, &controller{host: fmt.Sprintf("host-%d", k)})
	}
	for _, ctrl := range c.controllers {
		c.startSession(ctrl)
	}
	c.run(JoinDelay + time.Second)
	c.elect(0)
	return c
}

// startSession starts a controller's process and session.
func (c *cluster) startSession(ctrl *controller) {
	ctrl.share, ctrl.hasSession, ctrl.backlog = NewShare(c.configuredLimit, len(c.controllers)), true, 0
	ctrl.share.SetSessionStart(c.now)
	ctrl.sessionStart = c.now
	ctrl.bucket = NewTokenBucket(0, ctrl.share.Guaranteed(), c.now)
}

// endSession ends a controller's session. The controller does nothing until its next session.
func (c *cluster) endSession(ctrl *controller) {
	ctrl.hasSession, ctrl.sessionEnd = false, c.now
}

// elect makes a controller the leader. The former leader must have stopped answering.
func (c *cluster) elect(k int) {
	c.epoch++
	c.leader, c.leaderStart = k, c.now
	var hosts []string
	for _, ctrl := range c.controllers {
		hosts = append(hosts, ctrl.host)
	}
	c.allocator = NewAllocator(c.epoch, c.configuredLimit, hosts)
}

// isStalled reports whether a controller is stalled or has no session.
func (c *cluster) isStalled(ctrl *controller) bool {
	return !ctrl.hasSession || c.now.Before(ctrl.stalledUntil)
}

// run advances the clock by d and fails the test if the sum of all rates exceeds the limit.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(step) {
		c.deliver()
		sum := 0.0
		for k, ctrl := range c.controllers {
			if c.isStalled(ctrl) {
				continue
			}
			rate, until, base := ctrl.share.Rate(c.now)
			ctrl.bucket.SetRate(rate, until, base, c.now)
			sum += rate
			c.makeChanges(ctrl)
			if !c.now.Before(ctrl.nextReport) && c.leader >= 0 {
				c.sendReport(k, ctrl)
			}
		}
		if sum > c.maxAllowed+rounding {
			c.t.Fatalf("at %v the sum of all rates is %.2f, want at most %.0f", c.now.Sub(scenarioStart), sum, c.maxAllowed)
		}
	}
}

// makeChanges makes the changes that a controller wants, as far as its bucket allows.
func (c *cluster) makeChanges(ctrl *controller) {
	ctrl.backlog = min(500, ctrl.backlog+ctrl.want*step.Seconds())
	for ctrl.backlog >= 1 {
		if _, ok := ctrl.bucket.Reserve(1, 0, c.now); !ok {
			return
		}
		ctrl.backlog--
		ctrl.changes++
		if _, ok := c.service.Reserve(1, 0, c.now); !ok {
			c.rejected++
		}
	}
}

// sendReport sends a report to the leader. It is lost if either side is partitioned.
func (c *cluster) sendReport(k int, ctrl *controller) {
	r := ctrl.share.Report(ctrl.host, ctrl.want+ctrl.backlog, c.now)
	ctrl.nextReport = c.now.Add(500 * time.Millisecond)
	if !r.Promises {
		ctrl.nextReport = c.now.Add(200 * time.Millisecond)
	}
	if ctrl.partitioned || c.controllers[c.leader].partitioned && k != c.leader {
		return
	}
	c.messages = append(c.messages, message{
		arrival: c.now.Add(c.messageDelay()), sent: c.now, report: &r, to: ctrl, share: ctrl.share,
	})
}

// messageDelay returns the random transit time of a message: up to 30 ms, or up to 4 s for one
// message in 20.
func (c *cluster) messageDelay() time.Duration {
	if c.rng.IntN(20) == 0 {
		return time.Duration(c.rng.IntN(4000)) * time.Millisecond
	}
	return time.Duration(c.rng.IntN(30)) * time.Millisecond
}

// deliver delivers the messages whose arrival time has come.
func (c *cluster) deliver() {
	pending := c.messages
	c.messages = nil
	for _, m := range pending {
		switch {
		case m.arrival.After(c.now):
			c.messages = append(c.messages, m)
		case m.grant != nil:
			// The caller has given up on answers that arrive after LoanDuration.
			if c.now.Sub(m.sent) <= LoanDuration && !c.isStalled(m.to) && m.to.share == m.share {
				m.to.share.ApplyGrant(*m.grant, m.sent)
			}
		case c.leader >= 0 && !c.isStalled(c.controllers[c.leader]):
			c.messages = append(c.messages, c.answer(m))
		}
	}
}

// answer returns the message with the allocator's answer to a report.
func (c *cluster) answer(m message) message {
	alive := map[string]bool{}
	for _, ctrl := range c.controllers {
		alive[ctrl.host] = ctrl.hadSession(c.now.Add(-c.viewAge))
	}
	view := SessionView{Alive: alive, Age: c.viewAge}
	grant := c.allocator.Allocate(*m.report, view, c.now.Sub(c.leaderStart))
	return message{arrival: c.now.Add(c.messageDelay()), sent: m.sent, grant: &grant, to: m.to, share: m.share}
}

// checkNothingRejected fails the test if the service has rejected a change.
func (c *cluster) checkNothingRejected() {
	c.t.Helper()
	if c.rejected > 0 {
		c.t.Errorf("the service rejected %d changes, want 0", c.rejected)
	}
}

// measureRate runs the cluster for d and returns a controller's changes per second.
func (c *cluster) measureRate(ctrl *controller, d time.Duration) float64 {
	before := ctrl.changes
	c.run(d)
	return float64(ctrl.changes-before) / d.Seconds()
}
