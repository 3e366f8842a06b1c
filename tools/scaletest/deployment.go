package scaletest

import (
	"fmt"

	"robinstack/internal/config"
)

const (
	// urgentStartShare is the share of urgent jobs that the objective requires to start within
	// urgentStartTarget.
	urgentStartShare = 0.95
	// maxClockOffsetMS is the bound on the clock offset between two hosts that the settings state.
	// All processes of a run share the clock of one host, so the actual offset is 0.
	maxClockOffsetMS = 10
)

// teamName returns the name of the team with index k.
func teamName(k int) string { return fmt.Sprintf("team-%02d", k) }

// Deployment returns the part of the controllers' settings that describes the deployment, in the
// form of the settings file.
func (p *Profile) Deployment() any {
	teams := []config.Team{}
	for k := range p.Teams.Count {
		teams = append(teams, config.Team{Name: teamName(k), GuaranteedGPUs: p.Teams.GPUs, GPUQuota: p.Teams.GPUsMax})
	}
	objectives := []map[string]any{}
	for _, c := range p.Jobs {
		if c.Urgent {
			objectives = append(objectives, map[string]any{
				"kind": "wait", "class": c.Name, "within_s": urgentStartTarget.Seconds(), "share": urgentStartShare,
			})
		}
	}
	return map[string]any{
		"size":       p.Controllers.Count,
		"zones":      p.Zones(),
		"teams":      teams,
		"objectives": objectives,
		"workers": map[string]float64{
			"report_s":    p.Workers.Report,
			"lease_s":     p.Workers.Lease,
			"gang_wait_s": p.Workers.GangWait,
			"gang_peer_s": p.Workers.GangPeer,
			"cancel_s":    p.Workers.Cancel,
		},
		"state": map[string]any{
			"rps": p.State.RPS, "write_rps": p.State.WriteRPS, "value_kb": p.State.ValueKB, "txn_ops": p.State.TxnOps,
		},
		"cloud":        map[string]float64{"rps": p.Cloud.RPS, "list_lag_s": p.Cloud.ListLag},
		"clock_off_ms": maxClockOffsetMS,
		"quota": map[string]float64{
			"cores":           p.Controllers.Cores,
			"memory_mb":       p.Controllers.MemoryMB,
			"max_connections": float64(p.Controllers.Sockets),
		},
	}
}
