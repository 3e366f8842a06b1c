package clusteragent

import (
	"strings"
	"testing"

	"robinstack/internal/agentapi"
	"robinstack/internal/shard"
	"robinstack/test/wireformat"
)

func TestWireForms(t *testing.T) {
	wireformat.Service(t, (*Service)(nil))
	wireformat.JSON[shard.MachineRecord](t, "machine-key")
	wireformat.JSON[shard.Record](t, "shard-key")
	wireformat.Golden(t, "words", strings.Join([]string{agentapi.Started, agentapi.Held, agentapi.Refused, agentapi.Unresolved, agentapi.Starting}, "\n")+"\n")
}
