package agent

import (
	"testing"

	"robinstack/wireformat"
)

func TestWireForms(t *testing.T) {
	wireformat.Service(t, (*Service)(nil))
	wireformat.JSON[MachineKey](t, "machine-key")
	wireformat.JSON[ShardKey](t, "shard-key")
}
