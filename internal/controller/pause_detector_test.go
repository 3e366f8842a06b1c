package controller

import (
	"testing"
	"time"
)

// A process that stood still while its clocks ran on says so; the late ticks of a
// busy one do not count.
func TestPauseDetectorCountsLongPauses(t *testing.T) {
	var p pauseDetector
	p.record(300 * time.Millisecond)
	p.record(17 * time.Second)
	p.record(2 * time.Second)
	if n, longest := p.totals(); n != 2 || longest != 17*time.Second {
		t.Fatalf("%d pauses, the longest of %v", n, longest)
	}
}
