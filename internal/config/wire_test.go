package config

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"robinstack/test/wireformat"
)

func TestWireForms(t *testing.T) {
	wireformat.CheckJSON[wireSettings](t, "settings")
	var filled wireSettings
	wireformat.Fill(&filled)
	filled.Listen, filled.PeerListen, filled.External.Cloud, filled.External.State = "l:1", "p:2", "c:3", "s:4"
	for i := range filled.Peers {
		filled.Peers[i].Address = "a:5"
	}
	facts := &filled.Facts
	facts.Workers.LeaseS, facts.Workers.CancelS = 100, 200
	facts.State.Next.RPS, facts.State.Next.WriteRPS = 0, 0
	raw, err := json.Marshal(filled)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	peer, objective := s.Peers[0], s.Objectives[0]
	got := []any{
		s.Host, s.Zone, s.ListenAddress, s.PeerListenAddress, s.CloudAddress, s.StateAddress, s.Controllers, s.Zones,
		peer.Host, peer.Zone, peer.Address,
		s.Workers.HeartbeatInterval, s.Workers.LeaseDuration, s.Workers.GangWaitTimeout, s.Workers.GangPeerTimeout, s.Workers.CancellationDeadline,
		s.StateLimits.RequestsPerSecond, s.StateLimits.WritesPerSecond, s.StateLimits.MaxValueBytes, s.StateLimits.MaxTxnOps,
		s.CloudRequestsPerSecond, s.CloudListLag, s.MemoryBytes, s.MaxConnections, s.MaxClockOffset, len(s.Teams),
		objective.Kind, objective.Class, objective.Within, objective.Share, objective.DeadlineFactor,
	}
	wireformat.CheckGolden(t, "read", wireformat.IndentJSON(t, got))
}

// Guards the keys and values of deploy/service.toml, from which the platform builds and runs the
// program.
func TestWireDeployment(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/service.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deployment map[string]string
	if err := toml.Unmarshal(raw, &deployment); err != nil {
		t.Fatal(err)
	}
	if deployment["production"] == "" {
		t.Error("deploy/service.toml has no production version")
	}
	deployment["production"] = "a version" // changes with each release
	wireformat.CheckGolden(t, "deployment", wireformat.IndentJSON(t, deployment))
}
