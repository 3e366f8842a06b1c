package controller

import (
	"testing"
	"time"
)

// A process that stood still while its clocks ran on says so; the late ticks of a
// busy one do not count.
func TestPausesAreNoticed(t *testing.T) {
	var p pauses
	p.note(300 * time.Millisecond)
	p.note(17 * time.Second)
	p.note(2 * time.Second)
	if n, longest := p.totals(); n != 2 || longest != 17*time.Second {
		t.Fatalf("%d pauses, the longest of %v", n, longest)
	}
}
