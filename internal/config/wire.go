package config

import "time"

// wireSettings is the settings file as the platform writes it. Unknown fields of the file are
// ignored.
type wireSettings struct {
	Host       string `json:"host_name"`
	Zone       string `json:"area"`
	Listen     string `json:"listen"`
	PeerListen string `json:"peer_bind"`
	Peers      []struct {
		Host    string `json:"host_name"`
		Zone    string `json:"area"`
		Address string `json:"address"`
	} `json:"peers"`
	External struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"external"`
	Facts wireFacts `json:"facts"`
}

// wireFacts describes the deployment.
type wireFacts struct {
	Size       int      `json:"size"`
	Zones      []string `json:"zones"`
	Teams      []Team   `json:"teams"`
	Objectives []struct {
		Kind    string  `json:"kind"`
		Class   string  `json:"class"`
		WithinS float64 `json:"within_s"`
		Share   float64 `json:"share"`
		Times   float64 `json:"times"`
	} `json:"objectives"`
	Workers struct {
		ReportS   float64 `json:"report_s"`
		LeaseS    float64 `json:"lease_s"`
		GangWaitS float64 `json:"gang_wait_s"`
		GangPeerS float64 `json:"gang_peer_s"`
		CancelS   float64 `json:"cancel_s"`
	} `json:"workers"`
	State struct {
		wireLimits
		Next wireLimits `json:"next"`
	} `json:"state"`
	Cloud struct {
		RPS      float64 `json:"rps"`
		ListLagS float64 `json:"list_lag_s"`
	} `json:"cloud"`
	Quota struct {
		Cores          float64 `json:"cores"`
		MemoryMB       float64 `json:"memory_mb"`
		MaxConnections int     `json:"max_connections"`
	} `json:"quota"`
	ClockOffMS float64 `json:"clock_off_ms"`
}

// wireLimits are limits of the state service, current or announced. An announced limit that is
// absent or 0 means that the current one does not change.
type wireLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

const (
	bytesPerKiB = 1 << 10
	bytesPerMiB = 1 << 20
)

// settings converts the file without checking it.
func (w *wireSettings) settings() *Settings {
	facts := &w.Facts
	s := &Settings{
		Host:                   w.Host,
		Zone:                   w.Zone,
		ListenAddress:          w.Listen,
		PeerListenAddress:      w.PeerListen,
		CloudAddress:           w.External.Cloud,
		StateAddress:           w.External.State,
		Controllers:            facts.Size,
		Zones:                  facts.Zones,
		Teams:                  map[string]Team{},
		Workers:                facts.workerTiming(),
		StateLimits:            facts.State.effective(facts.State.Next),
		CloudRequestsPerSecond: facts.Cloud.RPS,
		CloudListLag:           Seconds(facts.Cloud.ListLagS),
		MemoryBytes:            int64(facts.Quota.MemoryMB * bytesPerMiB),
		MaxConnections:         facts.Quota.MaxConnections,
		MaxClockOffset:         time.Duration(facts.ClockOffMS * float64(time.Millisecond)),
	}
	for _, peer := range w.Peers {
		s.Peers = append(s.Peers, Peer{Host: peer.Host, Zone: peer.Zone, Address: peer.Address})
	}
	for _, team := range facts.Teams {
		s.Teams[team.Name] = team
	}
	for _, objective := range facts.Objectives {
		s.Objectives = append(s.Objectives, Objective{
			Kind:           objective.Kind,
			Class:          objective.Class,
			Within:         Seconds(objective.WithinS),
			Share:          objective.Share,
			DeadlineFactor: objective.Times,
		})
	}
	if s.Controllers == 0 {
		s.Controllers = len(s.Peers) + 1
	}
	return s
}

func (f *wireFacts) workerTiming() WorkerTiming {
	return WorkerTiming{
		HeartbeatInterval:    Seconds(f.Workers.ReportS),
		LeaseDuration:        Seconds(f.Workers.LeaseS),
		GangWaitTimeout:      Seconds(f.Workers.GangWaitS),
		GangPeerTimeout:      Seconds(f.Workers.GangPeerS),
		CancellationDeadline: Seconds(f.Workers.CancelS),
	}
}

// effective returns the limits that apply at any time; next holds the announced ones.
func (l wireLimits) effective(next wireLimits) StateLimits {
	return StateLimits{
		RequestsPerSecond: effectiveLimit(l.RPS, next.RPS),
		WritesPerSecond:   effectiveLimit(l.WriteRPS, next.WriteRPS),
		MaxValueBytes:     int(effectiveLimit(l.ValueKB, next.ValueKB) * bytesPerKiB),
		MaxTxnOps:         effectiveLimit(l.TxnOps, next.TxnOps),
	}
}

// effectiveLimit returns the lower of the current and the announced limit; next is 0 if no change
// is announced.
func effectiveLimit[T int | float64](current, next T) T {
	if next == 0 {
		return current
	}
	return min(current, next)
}
