package integration

import (
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
	os.Exit(invariant.ExitCode(m.Run()))
}
