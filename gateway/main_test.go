package gateway

import (
	"os"
	"testing"

	"robinstack/fakes"
)

func TestMain(m *testing.M) {
	fakes.WarmHTTP()
	os.Exit(m.Run())
}
