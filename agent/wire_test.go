package agent

import (
	"strings"
	"testing"

	"robinstack/wireformat"
)

func TestWireForms(t *testing.T) {
	wireformat.Service(t, (*Service)(nil))
	wireformat.JSON[MachineKey](t, "machine-key")
	wireformat.JSON[ShardKey](t, "shard-key")
	wireformat.Golden(t, "words", strings.Join([]string{Started, Held, Refused, Unsettled, Starting}, "\n")+"\n")
}
