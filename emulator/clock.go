package emulator

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether the full duration passed before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
