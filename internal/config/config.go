// Package config reads the settings file that the platform hands to a
// controller and checks it.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"time"
)

// Peer is another controller of the same service.
type Peer struct {
	Host    string
	Zone    string
	Address string
}

// Team holds the amounts guaranteed to a team and its limits; 0 means none.
type Team struct {
	Name           string  `json:"name"`
	GuaranteedCPUs float64 `json:"cpus"`
	CPUQuota       float64 `json:"cpus_max"`
	GuaranteedGPUs float64 `json:"gpus"`
	GPUQuota       float64 `json:"gpus_max"`
}

// Objective is one of the users' aims.
type Objective struct {
	Kind           string
	Class          string
	Within         time.Duration
	Share          float64
	DeadlineFactor float64
}

// WorkerTiming holds the timing the workers keep to.
type WorkerTiming struct {
	HeartbeatInterval    time.Duration
	LeaseDuration        time.Duration
	GangWaitTimeout      time.Duration
	GangPeerTimeout      time.Duration
	CancellationDeadline time.Duration
}

// StateLimits holds the limits of the state service that hold at any time: of those that
// are in force and those that the platform has announced (facts.state.next), which come
// without notice, the lower of each.
type StateLimits struct {
	RequestsPerSecond float64
	WritesPerSecond   float64
	MaxValueBytes     int
	MaxTxnOps         int
}

// SharedWriteBudget is how many changes a second all controllers make together at most: a tenth
// of what the service takes is left for bursts of sessions that begin.
func (s StateLimits) SharedWriteBudget() float64 { return 0.9 * s.WritesPerSecond }

// comparesPerOp is how many compares the state service takes in a transaction for each change
// that it takes.
const comparesPerOp = 4

// MaxCompares is how many compares a transaction may have.
func (s StateLimits) MaxCompares() int { return comparesPerOp * s.MaxTxnOps }

// Settings is everything the platform tells a controller.
type Settings struct {
	Host                   string
	Zone                   string
	ListenAddress          string
	PeerListenAddress      string
	Peers                  []Peer
	CloudAddress           string
	StateAddress           string
	Controllers            int
	Zones                  []string
	Teams                  map[string]Team
	Objectives             []Objective
	Workers                WorkerTiming
	StateLimits            StateLimits
	CloudRequestsPerSecond float64
	CloudListLag           time.Duration
	MemoryBytes            int64
	MaxConnections         int
	MaxClockOffset         time.Duration
}

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
	Facts struct {
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
	} `json:"facts"`
}

// wireLimits are limits of the state service; of those to come, one that is absent or 0
// stays as it is.
type wireLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// lower returns the lower of each limit.
func (l wireLimits) lower(next wireLimits) StateLimits {
	return StateLimits{RequestsPerSecond: least(l.RPS, next.RPS), WritesPerSecond: least(l.WriteRPS, next.WriteRPS),
		MaxValueBytes: int(least(l.ValueKB, next.ValueKB) * 1024), MaxTxnOps: least(l.TxnOps, next.TxnOps)}
}

func least[T int | float64](now, next T) T {
	if next == 0 {
		return now
	}
	return min(now, next)
}

// What the service needs of the state service at least. A chunk of a job's finished
// tasks takes 1.4 KiB; an end of a job three changes; and a change of the level has a
// condition for each controller and six more, of which four go with each change.
const (
	MinValueBytes = 2048
	MinTxnOps     = 6
	levelConds    = 6
)

// Seconds turns an amount of seconds from the wire into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks the settings file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse checks settings given as JSON.
func Parse(raw []byte) (*Settings, error) {
	var w wireSettings
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&w); err != nil {
		return nil, fmt.Errorf("not valid JSON: %w", err)
	}
	f := &w.Facts
	s := &Settings{
		Host: w.Host, Zone: w.Zone, ListenAddress: w.Listen, PeerListenAddress: w.PeerListen,
		CloudAddress: w.External.Cloud, StateAddress: w.External.State,
		Controllers: f.Size, Zones: f.Zones, Teams: map[string]Team{},
		Workers: WorkerTiming{
			HeartbeatInterval: Seconds(f.Workers.ReportS), LeaseDuration: Seconds(f.Workers.LeaseS),
			GangWaitTimeout: Seconds(f.Workers.GangWaitS), GangPeerTimeout: Seconds(f.Workers.GangPeerS),
			CancellationDeadline: Seconds(f.Workers.CancelS),
		},
		StateLimits:            f.State.lower(f.State.Next),
		CloudRequestsPerSecond: f.Cloud.RPS, CloudListLag: Seconds(f.Cloud.ListLagS),
		MemoryBytes: int64(f.Quota.MemoryMB * (1 << 20)), MaxConnections: f.Quota.MaxConnections,
		MaxClockOffset: time.Duration(f.ClockOffMS * float64(time.Millisecond)),
	}
	var errs []error
	need := func(ok bool, field, what string) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s: %s", field, what))
		}
	}
	address := func(field, a string) {
		_, _, err := net.SplitHostPort(a)
		need(err == nil, field, fmt.Sprintf("%q is not host:port", a))
	}
	need(s.Host != "", "host_name", "is missing")
	address("listen", s.ListenAddress)
	address("peer_bind", s.PeerListenAddress)
	address("external.cloud", s.CloudAddress)
	address("external.state", s.StateAddress)
	seen := map[string]bool{s.Host: true}
	for i, p := range w.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		need(p.Host != "" && !seen[p.Host], field+".host_name", "is missing or repeated")
		seen[p.Host] = true
		address(field+".address", p.Address)
		s.Peers = append(s.Peers, Peer{Host: p.Host, Zone: p.Zone, Address: p.Address})
	}
	for i, t := range f.Teams {
		field := fmt.Sprintf("facts.teams[%d]", i)
		_, again := s.Teams[t.Name]
		need(t.Name != "" && !again, field+".name", "is missing or repeated")
		need(t.GuaranteedCPUs >= 0 && t.CPUQuota >= 0 && t.GuaranteedGPUs >= 0 && t.GPUQuota >= 0, field, "has a negative amount")
		s.Teams[t.Name] = t
	}
	for _, o := range f.Objectives {
		s.Objectives = append(s.Objectives, Objective{Kind: o.Kind, Class: o.Class, Within: Seconds(o.WithinS), Share: o.Share, DeadlineFactor: o.Times})
	}
	need(s.Workers.HeartbeatInterval > 0, "facts.workers.report_s", "must be above 0")
	need(s.Workers.LeaseDuration > s.Workers.HeartbeatInterval, "facts.workers.lease_s", "must be above report_s")
	// Less would not leave an owner the time between two views of the state service.
	need(s.Workers.CancellationDeadline >= s.Workers.LeaseDuration+leastHold+holdMargin, "facts.workers.cancel_s", fmt.Sprintf("must be at least %v above lease_s", leastHold+holdMargin))
	need(s.Workers.GangWaitTimeout > 0, "facts.workers.gang_wait_s", "must be above 0")
	need(s.StateLimits.RequestsPerSecond > 0, "facts.state.rps", "must be above 0, and next.rps not below")
	need(s.StateLimits.WritesPerSecond > 0, "facts.state.write_rps", "must be above 0, and next.write_rps not below")
	need(s.StateLimits.MaxValueBytes >= MinValueBytes, "facts.state.value_kb", "must be at least 2, and next.value_kb as well")
	ops := max(MinTxnOps, (len(w.Peers)+1+levelConds+3)/4)
	need(s.StateLimits.MaxTxnOps >= ops, "facts.state.txn_ops", fmt.Sprintf("must be at least %d with so many controllers, and next.txn_ops as well", ops))
	need(s.CloudRequestsPerSecond > 0, "facts.cloud.rps", "must be above 0")
	if s.Controllers == 0 {
		s.Controllers = len(s.Peers) + 1
	}
	return s, errors.Join(errs...)
}

// Hosts lists all controllers there are, this one among them.
func (s *Settings) Hosts() []string {
	hosts := []string{s.Host}
	for _, p := range s.Peers {
		hosts = append(hosts, p.Host)
	}
	return hosts
}

// ZoneOf returns the zone of a controller, or "" if it is not known.
func (s *Settings) ZoneOf(host string) string {
	if host == s.Host {
		return s.Zone
	}
	for _, p := range s.Peers {
		if p.Host == host {
			return p.Zone
		}
	}
	return ""
}

// LeaseGracePeriod is how long an owner that cannot renew its state lease goes on
// answering its workers. Whatever it keeps alive must still be gone within
// the cancellation time once the worker's own lease has run out as well.
//
// It counts from the sending of the last request that showed the owner the present.
// A cancellation that it does not know was written, and told to its user, after
// that. A worker's lease counts from the sending of a report, which comes before its
// answer, so delivery costs nothing; what is left to allow for is the drift of both
// clocks, 0.05% each, and the kill itself: together well under holdMargin. See
// "The hold time" in docs/design.md. It is never less than what renewals and
// watches take when all is well; settings under which that would be too long are
// refused (Parse).
func (s *Settings) LeaseGracePeriod() time.Duration {
	return max(leastHold, s.Workers.CancellationDeadline-s.Workers.LeaseDuration-holdMargin)
}

const (
	holdMargin = time.Second
	leastHold  = 2500 * time.Millisecond
)

// WatchTimeout is how long a watch of the state service may wait: an owner takes
// its view for current only for the hold time, so it must be renewed within it.
func (s *Settings) WatchTimeout() time.Duration {
	return min(time.Second, s.LeaseGracePeriod()/4)
}

// MinWatchInterval is the least time between two watches of one controller. In a
// large fleet something changes all the time, and every watch counts as a
// request: all controllers' watches together take an eighth of what there is, and more where
// there are so many that each would see what others write only after longest.
func (s *Settings) MinWatchInterval() time.Duration {
	return min(s.LeaseGracePeriod()/8, longestWatchPause, Seconds(8*float64(max(1, s.Controllers))/s.StateLimits.RequestsPerSecond))
}

// longestWatchPause bounds how late a controller sees what others write: taking a role,
// registering a machine and accepting a job wait for that, some of them several times.
const longestWatchPause = 450 * time.Millisecond

// WorkerLeaseExpiry is the time after which a worker that nobody answers any more has
// ended its tasks, clock drift and delivery of the last answer included.
func (s *Settings) WorkerLeaseExpiry() time.Duration {
	return s.Workers.LeaseDuration + s.Workers.LeaseDuration/200 + 1500*time.Millisecond
}

// CompletionTargets are the times, from its submission, by which a job should be done: those
// that the users' aims for its class name, in rising order, or else its deadline.
func (s *Settings) CompletionTargets(class string, deadlineS *float64) []time.Duration {
	var out []time.Duration
	for _, o := range s.Objectives {
		switch {
		case o.Class != class:
		case o.Kind == "finished":
			out = append(out, o.Within)
		case o.Kind == "deadline" && deadlineS != nil:
			out = append(out, Seconds(*deadlineS*max(1, o.DeadlineFactor)))
		}
	}
	if out == nil && deadlineS != nil {
		out = append(out, Seconds(*deadlineS))
	}
	slices.Sort(out)
	return out
}

// StartTargets lists the times within which tasks of a class should have started by the
// users' aims, the tightest first.
func (s *Settings) StartTargets(class string) []time.Duration {
	var out []time.Duration
	for _, o := range s.Objectives {
		if o.Kind == "wait" && o.Class == class {
			out = append(out, o.Within)
		}
	}
	slices.Sort(out)
	return out
}

// Unguaranteed reports whether a team has no guarantee while others have one.
func (s *Settings) Unguaranteed(team string) bool {
	guaranteed := func(t Team) bool { return t.GuaranteedCPUs > 0 || t.GuaranteedGPUs > 0 }
	for _, t := range s.Teams {
		if guaranteed(t) {
			return !guaranteed(s.Teams[team])
		}
	}
	return false
}

// HasQuota reports whether a team has a limit that its tasks must not pass.
func (s *Settings) HasQuota(team string) bool {
	t := s.Teams[team]
	return t.CPUQuota > 0 || t.GPUQuota > 0
}
