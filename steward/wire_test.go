package steward

import (
	"testing"

	"robinstack/wireformat"
)

func TestWireForms(t *testing.T) { wireformat.Service(t, (*Service)(nil)) }
