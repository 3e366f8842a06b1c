package leader

import (
	"testing"
	"time"
)

// Machines that come up late, many at once, are not waited for longer than that is
// usual for their pool, and a pool with many of them is only probed. Before, each
// was counted on for three times its boot time.
func TestLateBootsAreNotCountedOn(t *testing.T) {
	var w bootWatch
	p := pool{"box", "a", false}
	if got := w.patience(p, 40*time.Second); got != 65*time.Second {
		t.Fatalf("%v without anything observed", got)
	}
	for range 10 {
		w.note(p, 60*time.Second, time.Now())
	}
	if got := w.patience(p, 40*time.Second); got != 80*time.Second {
		t.Fatalf("%v where a minute is usual", got)
	}
	if w.giveUp(p, 40*time.Second, true) <= 5*40*time.Second {
		t.Fatal("machines that all take four times as long are given up just before they come")
	}
	if troubled(10, 0, 2) || troubled(100, 0, 10) || !troubled(6, 0, 3) {
		t.Fatal("a pool is in trouble when half of what boots there is overdue, and more than two")
	}
}

// The last five of fifty machines that had come up well shut their pool for ten
// seconds, time and again (17 times on one drawn day): nothing was rented there
// while jobs waited. Once the others came long ago, they do not speak for it.
func TestStragglersDoNotShutTheirPool(t *testing.T) {
	var w bootWatch
	p := pool{"box", "a", false}
	if n := w.cameLately(p, time.Now()); n != 0 {
		t.Fatalf("%d before any came", n)
	}
	for range 45 {
		w.note(p, 40*time.Second, time.Now())
	}
	if troubled(5, w.cameLately(p, time.Now()), 5) {
		t.Fatal("five stragglers of fifty")
	}
	if later := time.Now().Add(2 * time.Minute); !troubled(5, w.cameLately(p, later), 5) {
		t.Fatal("five that are overdue where none came for two minutes")
	}
}
