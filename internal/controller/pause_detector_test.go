package controller

import (
	"testing"
	"time"
)

// A process that stood still while its clocks ran on says so; the late checks of a busy one do
// not count.
func TestPauseDetectorCountsLongPauses(t *testing.T) {
	var detector pauseDetector
	detector.record(300 * time.Millisecond)
	detector.record(17 * time.Second)
	detector.record(2 * time.Second)
	if count, longest := detector.totals(); count != 2 || longest != 17*time.Second {
		t.Fatalf("%d pauses, the longest of %v", count, longest)
	}
}
