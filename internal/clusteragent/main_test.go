package clusteragent_test

import (
	"fmt"
	"os"
	"testing"

	"robinstack/internal/invariant"
)

func TestMain(m *testing.M) {
	code := m.Run()
	if n := invariant.Violations(); n > 0 {
		fmt.Fprintf(os.Stderr, "%d invariants were violated; see the log\n", n)
		code = 1
	}
	os.Exit(code)
}
