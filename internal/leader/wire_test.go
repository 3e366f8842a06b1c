package leader

import (
	"testing"

	"robinstack/test/wireformat"
)

func TestWireForms(t *testing.T) { wireformat.CheckRPCService(t, (*Service)(nil)) }
