package budget

import (
	"testing"
	"time"
)

// What would wait too long is refused and takes nothing; a loan that ends counts only up to
// its end.
func TestBucketDelaysOrRefuses(t *testing.T) {
	now := scenarioStart
	b := NewTokenBucket(4, 4, now)
	if wait, ok := b.Reserve(4, 0, now); !ok || wait != 0 {
		t.Errorf("a full bucket: %v %v", wait, ok)
	}
	if _, ok := b.Reserve(5, time.Second, now); ok {
		t.Error("5 take longer than a second at 4 a second")
	}
	b.SetRate(20, now.Add(100*time.Millisecond), 4, now)
	wait, ok := b.Reserve(4, time.Second, now)
	if expected := 600 * time.Millisecond; !ok || (wait-expected).Abs() > time.Millisecond {
		t.Errorf("4 at 20 a second for 0.1 s and 4 a second then: %v %v", wait, ok)
	}
	if got := b.Backlog(now); got != 4 {
		t.Errorf("%v wait", got)
	}
}
