package autoscaler

import (
	"testing"
	"time"
)

// Machines that come up late, many at once, are not waited for longer than that is
// usual for their pool, and a pool with many of them is only probed. Before, each
// was counted on for three times its nominal time.
func TestLateProvisioningIsNotCountedOn(t *testing.T) {
	h := newProvisioningHistory()
	p := Pool{"box", "a", false}
	if got := h.overdueAge(p, 40*time.Second); got != 65*time.Second {
		t.Fatalf("%v without anything observed", got)
	}
	for range 10 {
		h.record(p, 60*time.Second, time.Now())
	}
	if got := h.overdueAge(p, 40*time.Second); got != 80*time.Second {
		t.Fatalf("%v where a minute is usual", got)
	}
	if h.abandonAge(p, 40*time.Second, true) <= 5*40*time.Second {
		t.Fatal("machines that all take four times as long are given up just before they come")
	}
	if isStalled(10, 0, 2) || isStalled(100, 0, 10) || !isStalled(6, 0, 3) {
		t.Fatal("a pool is stalled when half of what is provisioning there is overdue, and more than two")
	}
}

// The last five of fifty machines that had come up well closed their pool for ten
// seconds, time and again (17 times on one drawn day): nothing was requested there
// while jobs waited. Once the others came long ago, they do not speak for it.
func TestStragglersDoNotCloseTheirPool(t *testing.T) {
	h := newProvisioningHistory()
	p := Pool{"box", "a", false}
	if n := h.recentArrivals(p, time.Now()); n != 0 {
		t.Fatalf("%d before any came", n)
	}
	for range 45 {
		h.record(p, 40*time.Second, time.Now())
	}
	if isStalled(5, h.recentArrivals(p, time.Now()), 5) {
		t.Fatal("five stragglers of fifty")
	}
	if later := time.Now().Add(2 * time.Minute); !isStalled(5, h.recentArrivals(p, later), 5) {
		t.Fatal("five that are overdue where none came for two minutes")
	}
}

func isStalled(machines, arrived, overdue int) bool {
	pool := poolProvisioning{machines: machines, arrived: arrived, overdue: overdue}
	return pool.stalled()
}
