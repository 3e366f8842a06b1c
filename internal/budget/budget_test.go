package budget

import (
	"testing"
	"time"
)

// What one controller needs and the others do not is lent to it within a second, and given
// back when they need it. Equal fixed shares left most of the limit idle with many
// controllers.
func TestUnusedSharesAreLent(t *testing.T) {
	c := newCluster(t, 16, 1)
	c.run(2 * time.Second)
	c.controllers[3].want = 100
	c.run(2 * time.Second)
	if got := c.measureRate(c.controllers[3], 5*time.Second); got < 0.45*sharedLimit {
		t.Errorf("one of sixteen makes %.1f changes a second of %.0f while the others need none", got, sharedLimit)
	}
	for _, ctrl := range c.controllers {
		ctrl.want = 100
	}
	c.run(2 * time.Second)
	sum := 0
	for _, ctrl := range c.controllers {
		sum -= ctrl.changes
	}
	c.run(5 * time.Second)
	for _, ctrl := range c.controllers {
		sum += ctrl.changes
	}
	if float64(sum)/5 < 0.9*sharedLimit {
		t.Errorf("all together make %.1f changes a second of %.0f", float64(sum)/5, sharedLimit)
	}
	c.checkNothingRejected()
}

// Without an answer each controller has its own share, and neither more nor less: while it is
// partitioned from the allocator, while there is none, and while the allocator is a new one.
func TestSharesAreEqualWithoutAnswers(t *testing.T) {
	c := newCluster(t, 4, 2)
	for _, ctrl := range c.controllers {
		ctrl.want = 0
	}
	busy := c.controllers[1]
	busy.want = 100
	c.run(3 * time.Second)
	busy.partitioned = true
	c.run(PromiseDuration)
	if got := c.measureRate(busy, 4*time.Second); got < 0.95*sharedLimit/4 || got > 1.05*sharedLimit/4 {
		t.Errorf("partitioned it makes %.1f changes a second, its share is %.1f", got, sharedLimit/4)
	}
	busy.partitioned = false
	c.run(2 * time.Second)
	if got := c.measureRate(busy, 2*time.Second); got < 1.5*sharedLimit/4 {
		t.Errorf("after the partition it makes %.1f changes a second", got)
	}
	c.elect(2)
	c.run(2 * time.Second)
	if got := c.measureRate(busy, 2*time.Second); got < 1.5*sharedLimit/4 {
		t.Errorf("under a new allocator it makes %.1f changes a second", got)
	}
	c.checkNothingRejected()
}

// The share of a controller whose session has ended is lent, and a new session of it takes it
// back without both using it.
func TestShareOfAnEndedSessionIsLentAndReturned(t *testing.T) {
	c := newCluster(t, 3, 3)
	for _, ctrl := range c.controllers {
		ctrl.want = 100
	}
	c.run(3 * time.Second)
	c.endSession(c.controllers[2])
	c.run(2 * time.Second)
	if got := c.measureRate(c.controllers[0], 4*time.Second); got < 1.2*sharedLimit/3 {
		t.Errorf("with one of three gone another makes %.1f changes a second, its share is %.1f", got, sharedLimit/3)
	}
	c.startSession(c.controllers[2])
	c.run(JoinDelay + time.Second)
	if got := c.measureRate(c.controllers[2], 4*time.Second); got < 0.9*sharedLimit/3 {
		t.Errorf("back again it makes %.1f changes a second", got)
	}
	c.checkNothingRejected()
}

// The sum of all shares is never above the limit, and the service rejects nothing, whatever
// happens: partitions, controllers that stall with their clocks running on, sessions that
// end and begin, allocators that change, views that are old, messages that are late.
func TestSumOfSharesNeverExceedsTheLimit(t *testing.T) {
	for seed := range uint64(60) {
		c := newCluster(t, 2+int(seed%15), seed)
		for range 120 {
			ctrl := c.controllers[c.rng.IntN(len(c.controllers))]
			switch c.rng.IntN(9) {
			case 0:
				ctrl.partitioned = !ctrl.partitioned
			case 1:
				ctrl.stalledUntil = c.now.Add(time.Duration(c.rng.IntN(6000)) * time.Millisecond)
			case 2:
				if ctrl.hasSession && ctrl.host != c.controllers[max(0, c.leader)].host {
					c.endSession(ctrl)
				} else if !ctrl.hasSession {
					c.startSession(ctrl)
				}
			case 3:
				// A leader begins only when the one before certainly does not answer any
				// more.
				c.leader = -1
				c.run(time.Duration(c.rng.IntN(1500)) * time.Millisecond)
				for k, x := range c.controllers {
					if x.hasSession {
						c.elect(k)
					}
				}
			case 4:
				c.viewAge = time.Duration(c.rng.IntN(3000)) * time.Millisecond
			default:
				ctrl.want = float64(c.rng.IntN(3) * c.rng.IntN(60))
			}
			c.run(time.Duration(c.rng.IntN(1000)) * time.Millisecond)
		}
		c.checkNothingRejected()
	}
}

// A session restarts while the allocator's view still shows it as ended, by a second or by
// more, and does not reach the allocator: what was lent of its share is given back first.
func TestPartitionedNewSessionWaitsForLoansOfItsShare(t *testing.T) {
	for _, age := range []time.Duration{0, 900 * time.Millisecond, 4 * time.Second} {
		c := newCluster(t, 3, 4)
		for _, ctrl := range c.controllers {
			ctrl.want = 100
		}
		c.run(3 * time.Second)
		c.endSession(c.controllers[2])
		c.run(5 * time.Second)
		c.viewAge = age
		c.startSession(c.controllers[2])
		c.controllers[2].partitioned = true
		c.run(6 * time.Second)
		c.checkNothingRejected()
	}
}

// A process restarts at once after one that had promised to use little: what was lent of
// that is given back first.
func TestNewSessionKeepsTheFormerPromise(t *testing.T) {
	c := newCluster(t, 3, 5)
	c.controllers[0].want = 100
	c.run(4 * time.Second)
	for range 5 {
		c.startSession(c.controllers[2])
		c.controllers[2].want = 100
		c.run(1500 * time.Millisecond)
		c.controllers[2].want = 0
		c.run(3 * time.Second)
	}
	c.checkNothingRejected()
}

// The limit is lowered: controllers restart with it one by one, under an allocator that
// knows of it or does not. The sum is within the former limit until all know, and within the
// new one from then on.
func TestLimitIsLoweredDuringRestarts(t *testing.T) {
	for _, first := range []int{0, 4} { // the allocator's, or the last of the others
		c := newCluster(t, 5, 6)
		c.controllers[1].want, c.controllers[3].want = 100, 100
		c.run(3 * time.Second)
		c.configuredLimit = sharedLimit / 2
		for k := range c.controllers {
			ctrl := c.controllers[(first+k)%len(c.controllers)]
			c.endSession(ctrl)
			if c.controllers[c.leader] == ctrl {
				c.leader = -1
			}
			c.run(500 * time.Millisecond)
			c.startSession(ctrl)
			c.run(time.Second)
			if c.leader < 0 {
				c.elect((first + k + 1) % len(c.controllers))
			}
			c.run(time.Second)
		}
		c.leader = -1
		c.run(time.Second)
		c.elect(2) // which knows the new limit
		c.run(LoanDuration + PromiseDuration)
		c.maxAllowed = sharedLimit / 2
		if got := c.measureRate(c.controllers[1], 5*time.Second); got < sharedLimit/2/5 {
			t.Errorf("it makes %.1f changes a second, its share is %.1f", got, sharedLimit/2/5)
		}
		c.checkNothingRejected()
	}
}

// Loans of the allocator before may still be in use when a new one begins.
func TestNewAllocatorWaitsForFormerLoans(t *testing.T) {
	a := NewAllocator(2, sharedLimit, []string{"host-0", "host-1"})
	sessions := SessionView{Alive: map[string]bool{"host-0": true}}
	busy := DemandReport{Host: "host-0", Need: 100}
	if g := a.Allocate(busy, sessions, 0); g.Loan != 0 {
		t.Errorf("it lends %v at once", g.Loan)
	}
	if g := a.Allocate(busy, sessions, LoanDuration+2*driftMargin); g.Loan != joiningPart*sharedLimit/2 {
		t.Errorf("it lends %v then", g.Loan)
	}
	if g := a.Allocate(DemandReport{Host: "host-9", Need: 100}, sessions, 2*LoanDuration); g.Loan != 0 {
		t.Errorf("it lends %v to one that it does not know", g.Loan)
	}
}
