package steward

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
		w.note(p, 60*time.Second)
	}
	if got := w.patience(p, 40*time.Second); got != 80*time.Second {
		t.Fatalf("%v where a minute is usual", got)
	}
	if w.giveUp(p, 40*time.Second, true) <= 5*40*time.Second {
		t.Fatal("machines that all take four times as long are given up just before they come")
	}
	if troubled(10, 2) || troubled(100, 10) || !troubled(6, 3) {
		t.Fatal("a pool is in trouble when half of what boots there is overdue, and more than two")
	}
}
