package integration

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"testing"

	"robinstack/emulator"
	"robinstack/internal/invariant"
)

func TestMain(m *testing.M) {
	emulator.WarmUpHTTPServer()
	if os.Getenv("LOG_LEVEL") == "" {
		slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	}
	code := m.Run()
	if n := invariant.Violations(); n > 0 {
		fmt.Fprintf(os.Stderr, "%d invariants were violated; LOG_LEVEL=error shows them\n", n)
		code = 1
	}
	os.Exit(code)
}
