package budget

import (
	"testing"
	"time"
)

// When one controller is busy and the others are idle, the unused shares are lent to it, and they
// return when the others become busy. Guards against fixed equal shares, which left most of the
// limit unused with many controllers.
func TestUnusedSharesAreLent(t *testing.T) {
	c := newCluster(t, 16, 1)
	c.run(2 * time.Second)
	c.controllers[3].want = 100
	c.run(2 * time.Second)
	if got := c.measureRate(c.controllers[3], 5*time.Second); got < 0.45*sharedLimit {
		t.Errorf("one busy controller of 16: got %.1f changes per second, want at least 45 %% of %.0f",
			got, sharedLimit)
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
		t.Errorf("all controllers busy: got %.1f changes per second, want at least 90 %% of %.0f",
			float64(sum)/5, sharedLimit)
	}
	c.checkNothingRejected()
}

// Without a loan, each controller uses exactly its own share: while it is partitioned from the
// allocator, while there is no allocator, and while a new allocator waits for former loans to end.
func TestSharesAreEqualWithoutLoans(t *testing.T) {
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
		t.Errorf("partitioned controller: got %.1f changes per second, want its share %.1f", got, sharedLimit/4)
	}
	busy.partitioned = false
	c.run(2 * time.Second)
	if got := c.measureRate(busy, 2*time.Second); got < 1.5*sharedLimit/4 {
		t.Errorf("after the partition: got %.1f changes per second, want at least 1.5 times the share %.1f",
			got, sharedLimit/4)
	}
	c.elect(2)
	c.run(2 * time.Second)
	if got := c.measureRate(busy, 2*time.Second); got < 1.5*sharedLimit/4 {
		t.Errorf("under a new allocator: got %.1f changes per second, want at least 1.5 times the share %.1f",
			got, sharedLimit/4)
	}
	c.checkNothingRejected()
}

// The share of a controller whose session has ended is lent. When a new session of that controller
// takes the share back, it is never used twice.
func TestShareOfEndedSessionIsLentAndReturned(t *testing.T) {
	c := newCluster(t, 3, 3)
	for _, ctrl := range c.controllers {
		ctrl.want = 100
	}
	c.run(3 * time.Second)
	c.endSession(c.controllers[2])
	c.run(2 * time.Second)
	if got := c.measureRate(c.controllers[0], 4*time.Second); got < 1.2*sharedLimit/3 {
		t.Errorf("with one of 3 sessions ended: got %.1f changes per second, want at least 1.2 times the share %.1f",
			got, sharedLimit/3)
	}
	c.startSession(c.controllers[2])
	c.run(JoinDelay + time.Second)
	if got := c.measureRate(c.controllers[2], 4*time.Second); got < 0.9*sharedLimit/3 {
		t.Errorf("after the restart: got %.1f changes per second, want at least 90 %% of the share %.1f",
			got, sharedLimit/3)
	}
	c.checkNothingRejected()
}

// The sum of all rates never exceeds the limit, and the service rejects no change, under random
// partitions, stalls with running clocks, session ends and restarts, leader changes, stale session
// views and delayed messages.
func TestSumOfSharesNeverExceedsLimit(t *testing.T) {
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
				// A leader is elected only after the former leader has certainly stopped answering.
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

// A session restarts while the allocator's view still shows it as ended, for up to a second or for
// longer, and cannot reach the allocator. The loans of its share must end before it uses the whole
// share.
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

// A process restarts right after its predecessor promised to use at most half of the share. The
// loans based on that promise must end before the new session uses the whole share.
func TestNewSessionKeepsFormerPromise(t *testing.T) {
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

// The limit is lowered while controllers restart one by one with the new limit, under an allocator
// with the new or the old one. The sum of all rates stays within the old limit until all
// controllers have restarted, and within the new limit afterwards.
func TestLimitIsLoweredDuringRestarts(t *testing.T) {
	for _, first := range []int{0, 4} { // index of the controller that restarts first: the leader or the last one
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
		c.elect(2) // restarted with the new limit
		c.run(LoanDuration + PromiseDuration)
		c.maxAllowed = sharedLimit / 2
		if got := c.measureRate(c.controllers[1], 5*time.Second); got < sharedLimit/2/5 {
			t.Errorf("after the limit was lowered: got %.1f changes per second, want at least the share %.1f",
				got, sharedLimit/2/5)
		}
		c.checkNothingRejected()
	}
}

// A new allocator makes no loans until the loans of its predecessor have ended, since they may
// still be in use.
func TestNewAllocatorWaitsForFormerLoans(t *testing.T) {
	a := NewAllocator(2, sharedLimit, []string{"host-0", "host-1"})
	sessions := SessionView{Alive: map[string]bool{"host-0": true}}
	busy := DemandReport{Host: "host-0", Need: 100}
	if g := a.Allocate(busy, sessions, 0); g.Loan != 0 {
		t.Errorf("loan at the start of the epoch: got %v, want 0", g.Loan)
	}
	if g := a.Allocate(busy, sessions, LoanDuration+2*driftMargin); g.Loan != joiningFraction*sharedLimit/2 {
		t.Errorf("loan after former loans have ended: got %v, want %v", g.Loan, joiningFraction*sharedLimit/2)
	}
	if g := a.Allocate(DemandReport{Host: "host-9", Need: 100}, sessions, 2*LoanDuration); g.Loan != 0 {
		t.Errorf("loan to an unknown host: got %v, want 0", g.Loan)
	}
}
