package budget

import (
	"testing"
	"time"
)

// A reservation that would wait too long is rejected and takes no tokens. A loan raises the fill
// rate only until it ends.
func TestTokenBucketDelaysOrRejects(t *testing.T) {
	now := scenarioStart
	b := NewTokenBucket(4, 4, now)
	if wait, ok := b.Reserve(4, 0, now); !ok || wait != 0 {
		t.Errorf("4 tokens of a full bucket: got delay %v, ok %v; want no delay", wait, ok)
	}
	if _, ok := b.Reserve(5, time.Second, now); ok {
		t.Error("5 tokens at 4 per second were reserved within 1 s")
	}
	b.SetRate(20, now.Add(100*time.Millisecond), 4, now)
	wait, ok := b.Reserve(4, time.Second, now)
	if expected := 600 * time.Millisecond; !ok || (wait-expected).Abs() > time.Millisecond {
		t.Errorf("4 tokens at 20 per second for 0.1 s, then 4 per second: got delay %v, ok %v; want %v", wait, ok, expected)
	}
	if got := b.Backlog(now); got != 4 {
		t.Errorf("backlog: got %v, want 4", got)
	}
}
