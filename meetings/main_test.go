package meetings

import (
	"io"
	"log/slog"
	"os"
	"testing"

	"robinstack/fakes"
)

func TestMain(m *testing.M) {
	fakes.WarmHTTP()
	if os.Getenv("LOG_LEVEL") == "" {
		slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	}
	os.Exit(m.Run())
}
