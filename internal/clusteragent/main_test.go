package clusteragent_test

import (
	"os"
	"testing"

	"robinstack/internal/invariant"
)

func TestMain(m *testing.M) { os.Exit(invariant.ExitCode(m.Run())) }
