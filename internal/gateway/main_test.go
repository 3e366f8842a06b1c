package gateway

import (
	"os"
	"testing"

	"robinstack/emulator"
)

func TestMain(m *testing.M) {
	emulator.WarmUpHTTPServer()
	os.Exit(m.Run())
}
