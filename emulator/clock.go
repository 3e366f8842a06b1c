package emulator

import (
	"context"
	"time"
)

// sleep waits, and reports whether ctx did not end before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
