package gateway

import (
	"os"
	"testing"

	"robinstack/emulator"
)

func TestMain(m *testing.M) {
	emulator.WarmHTTP()
	os.Exit(m.Run())
}
