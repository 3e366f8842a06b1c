package recovery

import (
	"strings"
	"testing"

	"robinstack/test/wireformat"
)

// The steps are keys of the status page, which operators' tools read.
func TestWireForms(t *testing.T) {
	wireformat.CheckGolden(t, "steps", strings.Join([]string{StepRegistered, StepReady, StepSubmissionAccepted, StepTaskStarted, StepReconciled}, "\n")+"\n")
}
