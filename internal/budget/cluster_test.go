package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	sharedLimit  = 72.0                  // what the controllers share
	serviceLimit = 80.0                  // what the service takes, with bursts of a second's worth
	step         = 10 * time.Millisecond // of the scenario's clock
	rounding     = 1e-9                  // of sums
)

// controller is one of a scenario's controllers.
type controller struct {
	host         string
	share        *Share
	bucket       *TokenBucket
	want         float64 // changes a second
	backlog      float64
	hasSession   bool      // by its key in the state service
	stalledUntil time.Time // it does nothing, while its clock runs on
	partitioned  bool      // from the allocator
	nextReport   time.Time
	changes      int
	sessionEnd   time.Time // when its latest session ended
	sessionStart time.Time // when the latest began
}

// hadSession reports whether a session of it went on at a time not long ago.
func (ctrl *controller) hadSession(at time.Time) bool {
	if ctrl.hasSession && !at.Before(ctrl.sessionStart) {
		return true
	}
	return at.Before(ctrl.sessionEnd)
}

// scenarioStart is an arbitrary time.
var scenarioStart = time.Unix(1000, 0)

// message is a report on its way, or an answer.
type message struct {
	arrival, sent time.Time
	report        *DemandReport
	grant         *Grant
	to            *controller
	share         *Share // of the process that sent the report
}

// cluster is a scenario of controllers, of which one at a time has the allocator, and a service
// that rejects what is too much. Its clock moves in steps.
type cluster struct {
	t               *testing.T
	rng             *rand.Rand
	now             time.Time
	controllers     []*controller
	allocator       *Allocator
	epoch           uint64
	leaderStart     time.Time
	leader          int // -1: nobody
	messages        []message
	service         *TokenBucket
	rejected        int
	viewAge         time.Duration
	configuredLimit float64 // that those who start now are configured with
	maxAllowed      float64 // that the sum may come to
}

// newCluster returns a cluster of n controllers, of which the first leads.
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

// endSession ends a controller's session, which does nothing from then on.
func (c *cluster) endSession(ctrl *controller) {
	ctrl.hasSession, ctrl.sessionEnd = false, c.now
}

// elect makes a controller the leader, when the one before has ceased to be.
func (c *cluster) elect(k int) {
	c.epoch++
	c.leader, c.leaderStart = k, c.now
	var hosts []string
	for _, ctrl := range c.controllers {
		hosts = append(hosts, ctrl.host)
	}
	c.allocator = NewAllocator(c.epoch, c.configuredLimit, hosts)
}

// isStalled reports whether a controller does nothing, or is not there.
func (c *cluster) isStalled(ctrl *controller) bool {
	return !ctrl.hasSession || c.now.Before(ctrl.stalledUntil)
}

// run lets time pass, and fails the test if the shares exceed the limit.
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
			c.t.Fatalf("at %v the shares come to %.2f of %.0f", c.now.Sub(scenarioStart), sum, c.maxAllowed)
		}
	}
}

// makeChanges makes changes of what a controller wants, one at a time.
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

// sendReport sends the leader a report, unless either is partitioned.
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

// messageDelay is how long a message is on its way: some take seconds.
func (c *cluster) messageDelay() time.Duration {
	if c.rng.IntN(20) == 0 {
		return time.Duration(c.rng.IntN(4000)) * time.Millisecond
	}
	return time.Duration(c.rng.IntN(30)) * time.Millisecond
}

// deliver delivers the messages that have arrived.
func (c *cluster) deliver() {
	pending := c.messages
	c.messages = nil
	for _, m := range pending {
		switch {
		case m.arrival.After(c.now):
			c.messages = append(c.messages, m)
		case m.grant != nil:
			// An answer that comes after its caller has given up reaches nobody.
			if c.now.Sub(m.sent) <= LoanDuration && !c.isStalled(m.to) && m.to.share == m.share {
				m.to.share.ApplyGrant(*m.grant, m.sent)
			}
		case c.leader >= 0 && !c.isStalled(c.controllers[c.leader]):
			c.messages = append(c.messages, c.answer(m))
		}
	}
}

// answer is the allocator's answer to a report, on its way.
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
		c.t.Errorf("the service rejected %d changes", c.rejected)
	}
}

// measureRate is what a controller makes in a second over some time.
func (c *cluster) measureRate(ctrl *controller, d time.Duration) float64 {
	before := ctrl.changes
	c.run(d)
	return float64(ctrl.changes-before) / d.Seconds()
}
