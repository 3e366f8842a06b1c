package autoscaler

import (
	"testing"
	"time"
)

// When many machines of a pool come up late, the plan waits for them only as long as is usual in
// the pool, and a pool with many overdue machines gets only probes. Before, each machine was
// counted on for 3 times its nominal provisioning time.
func TestOverdueAgeFollowsProvisioningHistory(t *testing.T) {
	h := newProvisioningHistory()
	p := Pool{"box", "a", false}
	if got := h.overdueAge(p, 40*time.Second); got != 65*time.Second {
		t.Fatalf("overdue age without history: got %v, want 65s", got)
	}
	for range 10 {
		h.record(p, 60*time.Second, time.Now())
	}
	if got := h.overdueAge(p, 40*time.Second); got != 80*time.Second {
		t.Fatalf("overdue age when machines take 60 s: got %v, want 80s", got)
	}
	if h.abandonAge(p, 40*time.Second, true) <= 5*40*time.Second {
		t.Fatal("machines of a stalled pool are deleted within five times their nominal provisioning time")
	}
	if isStalled(10, 0, 2) || isStalled(100, 0, 10) || !isStalled(6, 0, 3) {
		t.Fatal("want a pool stalled only if at least 3 machines and at least half of its machines are overdue")
	}
}

// When 45 of 50 machines have come up recently, 5 overdue machines do not stall their pool, but
// they do once those arrivals are older than arrivalSpan. Before, the last 5 of 50 machines paused
// their pool for 10 s time and again (17 times in one simulated day), and nothing was requested
// there while jobs waited.
func TestStragglersDoNotStallPool(t *testing.T) {
	h := newProvisioningHistory()
	p := Pool{"box", "a", false}
	if n := h.recentArrivals(p, time.Now()); n != 0 {
		t.Fatalf("%d recent arrivals before any machine came up, want 0", n)
	}
	for range 45 {
		h.record(p, 40*time.Second, time.Now())
	}
	if isStalled(5, h.recentArrivals(p, time.Now()), 5) {
		t.Fatal("pool stalled by 5 overdue machines of 50")
	}
	if later := time.Now().Add(2 * time.Minute); !isStalled(5, h.recentArrivals(p, later), 5) {
		t.Fatal("pool not stalled with 5 overdue machines and no arrivals for 2 minutes")
	}
}

func isStalled(machines, arrived, overdue int) bool {
	pool := poolProvisioning{machines: machines, arrived: arrived, overdue: overdue}
	return pool.stalled()
}
