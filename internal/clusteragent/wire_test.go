package clusteragent

import (
	"strings"
	"testing"

	"robinstack/internal/agentapi"
	"robinstack/internal/shard"
	"robinstack/test/wireformat"
)

func TestWireForms(t *testing.T) {
	wireformat.CheckRPCService(t, (*Service)(nil))
	wireformat.CheckJSON[shard.MachineRecord](t, "machine-key")
	wireformat.CheckJSON[shard.Record](t, "shard-key")
	wireformat.CheckGolden(t, "words", strings.Join([]string{agentapi.Started, agentapi.Held, agentapi.Refused, agentapi.Unresolved, agentapi.Starting}, "\n")+"\n")
}
