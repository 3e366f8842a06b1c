// Package invariant reports violations of conditions that the code relies on. A violation is logged
// at error level and counted; it never ends the process. The caller continues with the safe choice,
// which is to start nothing and to give nothing up. The package keeps one counter, which is safe for
// concurrent use, and imports no other package of the module but logline.
package invariant

import (
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"

	"robinstack/internal/logline"
)

var violations atomic.Int64

// Context identifies where a condition does not hold, by the identifiers with which the logs of all
// controllers can be joined. Fields that do not apply are zero.
type Context struct {
	Task     string
	Attempt  uint64
	Machine  string
	Revision uint64 // ownership revision of the machine
	Version  uint64 // version of the machine's entry
	Token    uint64 // fencing token
	Epoch    uint64 // worker epoch
	Reason   string
}

// Violated reports that a condition does not hold.
func Violated(condition string, c Context) {
	violations.Add(1)
	slog.Error(logline.InvariantViolated, "condition", condition, "task", c.Task, "attempt", c.Attempt,
		"machine", c.Machine, "revision", c.Revision, "version", c.Version, "token", c.Token, "epoch", c.Epoch,
		"reason", c.Reason)
}

// Violations returns the number of violations since the start of the process.
func Violations() int64 { return violations.Load() }

// ExitCode returns the exit code of a test binary whose tests ended with the given code: 1 if any
// invariant was violated.
func ExitCode(code int) int {
	if n := Violations(); n > 0 {
		fmt.Fprintf(os.Stderr, "%d invariants were violated; the log, at level error, says which\n", n)
		return 1
	}
	return code
}

// Reset sets the number of violations to 0 and returns the former number. Tests that plant
// violations call it.
func Reset() int64 { return violations.Swap(0) }
