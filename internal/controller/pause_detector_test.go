package controller

import (
	"testing"
	"time"
)

// Guards against pauses that are not counted, and against counting the late checks of a busy
// process (300 ms here) as pauses.
func TestPauseDetectorCountsLongPauses(t *testing.T) {
	var detector pauseDetector
	detector.record(300 * time.Millisecond)
	detector.record(17 * time.Second)
	detector.record(2 * time.Second)
	if count, longest := detector.totals(); count != 2 || longest != 17*time.Second {
		t.Fatalf("got %d pauses, the longest %v; want 2 and 17s", count, longest)
	}
}
