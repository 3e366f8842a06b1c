package config

import "time"

// wireSettings is the settings file as the platform writes it. Fields that it does not name are
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

// wireFacts is what the platform says of the deployment.
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

// wireLimits are limits of the state service; of those to come, one that is absent or 0 stays as
// it is.
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

// settings converts the file, unchecked.
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
		StateLimits:            facts.State.lower(facts.State.Next),
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

// lower returns the lower of each limit.
func (l wireLimits) lower(next wireLimits) StateLimits {
	return StateLimits{
		RequestsPerSecond: lowerOf(l.RPS, next.RPS),
		WritesPerSecond:   lowerOf(l.WriteRPS, next.WriteRPS),
		MaxValueBytes:     int(lowerOf(l.ValueKB, next.ValueKB) * bytesPerKiB),
		MaxTxnOps:         lowerOf(l.TxnOps, next.TxnOps),
	}
}

// lowerOf returns the lower of a limit and the one to come, where one is to come.
func lowerOf[T int | float64](now, next T) T {
	if next == 0 {
		return now
	}
	return min(now, next)
}
