package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"robinstack/internal/agentapi"
	"robinstack/internal/autoscaler"
	"robinstack/internal/clusteragent"
	"robinstack/internal/job"
	"robinstack/internal/peer"
	"robinstack/internal/rollout"
	"robinstack/internal/scheduler"
	"robinstack/internal/worker"
)

// Status is the read-only page that shows who holds what.
type Status struct {
	Host                string                   `json:"host"`
	StateServiceReached bool                     `json:"state_service_reached"`
	Leader              string                   `json:"steward"`
	Teams               []TeamStatus             `json:"teams"`
	Controllers         []agentapi.Health        `json:"controllers"`
	OverdueProvisioning []autoscaler.OverduePool `json:"boots_overdue"`
	Latencies           []Latency                `json:"answer_times_here"`
	RefusedQueries      int64                    `json:"queries_refused_here"`
	ProcessPauses       int                      `json:"pauses_here"`
	LongestPauseS       float64                  `json:"longest_pause_s"`

	RecoverySeconds map[string]float64 `json:"serving_again_here_s"` // steps since the start or the last lease lost

	Rollout rollout.Status `json:"rollout"`

	PeerTraffic peer.Traffic `json:"calls_from_here"` // to controllers

	Pools                  []PoolStatus           `json:"fleet"`
	Machines               []MachineStatus        `json:"machines,omitempty"`
	WaitingJobs            []scheduler.WaitingJob `json:"waiting"`
	SchedulerCounters      scheduler.Counters     `json:"placer_counters"`
	AgentCounters          clusteragent.Counters  `json:"agent_counters"`
	UnreachableControllers []string               `json:"controllers_without_answer"`
}

// TeamStatus is what a team holds against what it is due.
type TeamStatus struct {
	Team           string  `json:"team"`
	HeldCPUs       float64 `json:"cpus_held"`
	HeldGPUs       float64 `json:"gpus_held"`
	GuaranteedCPUs float64 `json:"cpus_guaranteed"`
	GuaranteedGPUs float64 `json:"gpus_guaranteed"`
	CPUQuota       float64 `json:"cpus_limit"`
	GPUQuota       float64 `json:"gpus_limit"`
	BorrowedCPUs   float64 `json:"cpus_borrowed"`
	BorrowedGPUs   float64 `json:"gpus_borrowed"`
	WaitingTasks   int     `json:"tasks_waiting"`
	Unguaranteed   bool    `json:"guest"` // no guarantee while others have one
}

// PoolStatus sums up the machines of one kind in one zone.
type PoolStatus struct {
	Type     string         `json:"type"`
	Zone     string         `json:"zone"`
	Spot     bool           `json:"spot"`
	Machines int            `json:"machines"`
	Empty    int            `json:"empty"`
	Tasks    int            `json:"tasks"`
	FreeGPUs float64        `json:"gpus_free"`
	States   map[string]int `json:"states"`
	Owners   map[string]int `json:"owners"`
}

// MachineStatus is a machine with its owner and tasks.
type MachineStatus struct {
	Machine string   `json:"machine"`
	Owner   string   `json:"owner"`
	Type    string   `json:"type"`
	Zone    string   `json:"zone"`
	Spot    bool     `json:"spot"`
	State   string   `json:"state"`
	Tasks   []string `json:"tasks"`
}

// status answers with totals. In a fleet of hundreds the machines are listed
// only on request: ?machines=all, or the name of one.
func (g *Gateway) status(c *fiber.Ctx) error {
	l := g.components.Load()
	if l == nil {
		return respondRetryLater(c, g.startupReason())
	}
	s := Status{Rollout: l.VersionGate.Status(), Host: g.settings.Host, StateServiceReached: l.Session.HoldsLease(), Leader: l.Scheduler.LeaderHost(), SchedulerCounters: l.Scheduler.Counters(), AgentCounters: l.Agent.Counters(), RecoverySeconds: l.RecoveryTimeline.Seconds()}
	entries := l.Feed.Entries()
	held := map[string]job.Need{}
	for i := range entries {
		for _, t := range entries[i].Tasks {
			if t.State != worker.TaskExited {
				held[t.Team] = held[t.Team].AddScaled(t.Need, 1)
			}
		}
	}
	s.Pools = g.poolStatuses(entries)
	s.Machines = machineStatuses(entries, c.Query("machines"))
	waiting := g.addWaitingJobs(c.Context(), l, &s)
	g.addDiagnostics(c.Context(), l, &s)
	for name, t := range g.settings.Teams {
		u := held[name]
		s.Teams = append(s.Teams, TeamStatus{Team: name, HeldCPUs: u.CPUs, HeldGPUs: u.GPUs, GuaranteedCPUs: t.GuaranteedCPUs, GuaranteedGPUs: t.GuaranteedGPUs,
			CPUQuota: t.CPUQuota, GPUQuota: t.GPUQuota, BorrowedCPUs: max(0, u.CPUs-t.GuaranteedCPUs), BorrowedGPUs: max(0, u.GPUs-t.GuaranteedGPUs), WaitingTasks: waiting[name],
			Unguaranteed: g.settings.Unguaranteed(name)})
	}
	slices.SortFunc(s.Teams, func(a, b TeamStatus) int { return strings.Compare(a.Team, b.Team) })
	return c.JSON(s)
}

// poolStatuses sums up the machines by type, zone and kind.
func (g *Gateway) poolStatuses(entries []agentapi.MachineEntry) []PoolStatus {
	types := g.catalogue.Types()
	type key struct {
		typeName, zone string
		spot           bool
	}
	sums := map[key]*PoolStatus{}
	for i := range entries {
		e := &entries[i]
		k := key{e.Type, e.Zone, e.Spot}
		p := sums[k]
		if p == nil {
			p = &PoolStatus{Type: e.Type, Zone: e.Zone, Spot: e.Spot, States: map[string]int{}, Owners: map[string]int{}}
			sums[k] = p
		}
		free, tasks := types[e.Type].GPUs, 0
		for _, t := range e.Tasks {
			if t.State != worker.TaskExited {
				tasks++
				free -= t.Need.GPUs
			}
		}
		p.Machines++
		p.Tasks += tasks
		p.FreeGPUs += free
		p.States[machineState(e)]++
		p.Owners[e.Host]++
		if tasks == 0 {
			p.Empty++
		}
	}
	out := []PoolStatus{}
	for _, p := range sums {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b PoolStatus) int {
		return cmp.Or(strings.Compare(a.Type, b.Type), strings.Compare(a.Zone, b.Zone), strings.Compare(pricingModel(a.Spot), pricingModel(b.Spot)))
	})
	return out
}

func pricingModel(spot bool) string {
	if spot {
		return "spot"
	}
	return "ordinary"
}

// machineStatuses lists all machines, or one, or none.
func machineStatuses(entries []agentapi.MachineEntry, which string) []MachineStatus {
	var out []MachineStatus
	for _, e := range entries {
		if which != "all" && which != e.Machine || which == "" {
			continue
		}
		m := MachineStatus{Machine: e.Machine, Owner: e.Host, Type: e.Type, Zone: e.Zone, Spot: e.Spot, State: machineState(&e), Tasks: []string{}}
		for _, t := range e.Tasks {
			m.Tasks = append(m.Tasks, job.TaskID(t.Job, t.Index)+" "+t.State)
		}
		slices.Sort(m.Tasks)
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b MachineStatus) int { return strings.Compare(a.Machine, b.Machine) })
	return out
}

// addDiagnostics gathers what operators have to tell apart: lost paths, marked
// machines, late boots, refused queries, pauses.
func (g *Gateway) addDiagnostics(ctx context.Context, l *Components, s *Status) {
	cctx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
	defer cancel()
	s.Controllers, s.OverdueProvisioning = []agentapi.Health{}, []autoscaler.OverduePool{}
	for _, h := range g.hosts() {
		var health agentapi.Health
		if !slices.Contains(s.UnreachableControllers, h) && l.Peers.Call(cctx, h, "Agent.Health", struct{}{}, &health) == nil {
			s.Controllers = append(s.Controllers, health)
		}
	}
	if s.Leader != "" {
		if err := l.Peers.Call(cctx, s.Leader, "Steward.Overdue", struct{}{}, &s.OverdueProvisioning); err != nil {
			slog.Debug("overdue provisioning query failed", "err", err)
		}
	}
	if l.PeerTraffic != nil {
		s.PeerTraffic = l.PeerTraffic()
	}
	s.Latencies, s.RefusedQueries = g.latencies.summaries(), g.rejectedQueries.Load()
	count, longest := g.processPauses()
	s.ProcessPauses, s.LongestPauseS = count, longest.Seconds()
}

func (g *Gateway) hosts() []string {
	hosts := []string{g.settings.Host}
	for _, p := range g.settings.Peers {
		hosts = append(hosts, p.Host)
	}
	return hosts
}

// addWaitingJobs gathers the jobs that wait, from all placers.
func (g *Gateway) addWaitingJobs(ctx context.Context, l *Components, s *Status) map[string]int {
	byTeam := map[string]int{}
	s.WaitingJobs, s.UnreachableControllers = []scheduler.WaitingJob{}, []string{}
	for _, h := range g.hosts() {
		cctx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
		var reply []scheduler.WaitingJob
		if err := l.Peers.Call(cctx, h, "Placer.Queue", 100, &reply); err != nil {
			s.UnreachableControllers = append(s.UnreachableControllers, h)
		}
		cancel()
		s.WaitingJobs = append(s.WaitingJobs, reply...)
		for _, w := range reply {
			byTeam[w.Team] += w.Tasks
		}
	}
	return byTeam
}

func machineState(e *agentapi.MachineEntry) string {
	switch {
	case !e.Settled:
		return "changing owner"
	case e.Silent:
		return "silent"
	case e.Notice:
		return "being taken by the cloud"
	case e.Faulty:
		return "faulty"
	case e.Draining:
		return "being returned"
	}
	return "up"
}
