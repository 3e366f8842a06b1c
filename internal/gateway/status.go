package gateway

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"robinstack/internal/agentapi"
	"robinstack/internal/autoscaler"
	"robinstack/internal/clusteragent"
	"robinstack/internal/config"
	"robinstack/internal/invariant"
	"robinstack/internal/job"
	"robinstack/internal/peer"
	"robinstack/internal/rollout"
	"robinstack/internal/scheduler"
	"robinstack/internal/worker"
)

const (
	// statusCallTimeout bounds each call for a scheduler's waiting jobs, and all health calls
	// together.
	statusCallTimeout = 700 * time.Millisecond
	// maxWaitingJobs bounds the waiting jobs that each scheduler lists.
	maxWaitingJobs = 100
)

// Status is the status page: the cluster as one controller sees it.
type Status struct {
	Host                string                   `json:"host"`
	StateServiceReached bool                     `json:"state_service_reached"`
	Leader              string                   `json:"steward"`
	Teams               []TeamStatus             `json:"teams"`
	Controllers         []agentapi.Health        `json:"controllers"`
	OverdueProvisioning []autoscaler.OverduePool `json:"boots_overdue"`
	Latencies           []Latency                `json:"answer_times_here"`
	RejectedQueries     int64                    `json:"queries_refused_here"`
	ProcessPauses       int                      `json:"pauses_here"`
	LongestPauseS       float64                  `json:"longest_pause_s"`
	InvariantViolations int64                    `json:"invariant_violations_here"` // since the start of the process

	// RecoverySeconds has the recovery steps that were reached, in seconds since the start of the
	// process or since the last loss of the lease.
	RecoverySeconds map[string]float64 `json:"serving_again_here_s"`

	Rollout rollout.Status `json:"rollout"`

	PeerTraffic peer.Traffic `json:"calls_from_here"` // RPCs of this process to controllers

	Pools                  []PoolStatus           `json:"fleet"`
	Machines               []MachineStatus        `json:"machines,omitempty"`
	WaitingJobs            []scheduler.WaitingJob `json:"waiting"`
	SchedulerCounters      scheduler.Counters     `json:"placer_counters"`
	AgentCounters          clusteragent.Counters  `json:"agent_counters"`
	UnreachableControllers []string               `json:"controllers_without_answer"`
}

// TeamStatus shows the resources that a team holds beside its guarantee and quota.
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
	Unguaranteed   bool    `json:"guest"` // has no guarantee while other teams have one
}

// PoolStatus summarizes the machines of one pool: those of one type and pricing model in one zone.
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

// MachineStatus is one machine with its owner and tasks.
type MachineStatus struct {
	Machine string   `json:"machine"`
	Owner   string   `json:"owner"`
	Type    string   `json:"type"`
	Zone    string   `json:"zone"`
	Spot    bool     `json:"spot"`
	State   string   `json:"state"`
	Tasks   []string `json:"tasks"`
}

// status serves the status page. Clusters have hundreds of machines, so machines are listed only on
// request: ?machines=all, or the name of one.
func (g *Gateway) status(c *fiber.Ctx) error {
	components, err := g.sessionComponents()
	if err != nil {
		return err
	}
	entries := components.Feed.Entries()
	s := Status{
		Rollout:             components.VersionGate.Status(),
		Host:                g.settings.Host,
		StateServiceReached: components.Session.HoldsLease(),
		Leader:              components.Scheduler.LeaderHost(),
		SchedulerCounters:   components.Scheduler.Counters(),
		AgentCounters:       components.Agent.Counters(),
		RecoverySeconds:     components.RecoveryTimeline.Seconds(),
		Pools:               poolStatuses(entries, g.catalogue.Types()),
		Machines:            machineStatuses(entries, c.Query("machines")),
	}
	g.addWaitingJobs(c.Context(), components, &s)
	g.addControllerHealth(c.Context(), components, &s)
	g.addLocalDiagnostics(components, &s)
	s.Teams = teamStatuses(g.settings, entries, s.WaitingJobs)
	return c.JSON(s)
}

// teamStatuses returns the resources that each team holds beside its guarantee and quota, ordered
// by team.
func teamStatuses(
	settings *config.Settings, entries []agentapi.MachineEntry, waitingJobs []scheduler.WaitingJob,
) []TeamStatus {
	held := heldByTeam(entries)
	waitingTasks := map[string]int{}
	for _, waiting := range waitingJobs {
		waitingTasks[waiting.Team] += waiting.Tasks
	}
	var statuses []TeamStatus
	for name, team := range settings.Teams {
		resources := held[name]
		statuses = append(statuses, TeamStatus{
			Team:           name,
			HeldCPUs:       resources.CPUs,
			HeldGPUs:       resources.GPUs,
			GuaranteedCPUs: team.GuaranteedCPUs,
			GuaranteedGPUs: team.GuaranteedGPUs,
			CPUQuota:       team.CPUQuota,
			GPUQuota:       team.GPUQuota,
			BorrowedCPUs:   max(0, resources.CPUs-team.GuaranteedCPUs),
			BorrowedGPUs:   max(0, resources.GPUs-team.GuaranteedGPUs),
			WaitingTasks:   waitingTasks[name],
			Unguaranteed:   settings.Unguaranteed(name),
		})
	}
	slices.SortFunc(statuses, func(a, b TeamStatus) int { return strings.Compare(a.Team, b.Team) })
	return statuses
}

// heldByTeam returns the resources that the tasks of each team hold.
func heldByTeam(entries []agentapi.MachineEntry) map[string]job.Resources {
	held := map[string]job.Resources{}
	for i := range entries {
		for _, task := range entries[i].Tasks {
			if task.State != worker.TaskExited {
				held[task.Team] = held[task.Team].AddScaled(task.Need, 1)
			}
		}
	}
	return held
}

// addWaitingJobs adds the waiting jobs of all schedulers, and the controllers that did not answer.
func (g *Gateway) addWaitingJobs(ctx context.Context, components *Components, s *Status) {
	s.WaitingJobs, s.UnreachableControllers = []scheduler.WaitingJob{}, []string{}
	for _, host := range g.settings.Hosts() {
		waiting, err := waitingJobsOf(ctx, components.Peers, host)
		if err != nil {
			s.UnreachableControllers = append(s.UnreachableControllers, host)
		}
		s.WaitingJobs = append(s.WaitingJobs, waiting...)
	}
}

func waitingJobsOf(ctx context.Context, peers peer.Caller, host string) ([]scheduler.WaitingJob, error) {
	ctx, cancel := context.WithTimeout(ctx, statusCallTimeout)
	defer cancel()
	var waiting []scheduler.WaitingJob
	err := peers.Call(ctx, host, "Placer.Queue", maxWaitingJobs, &waiting)
	return waiting, err
}

// addControllerHealth adds what must be requested from other controllers: the health of each,
// including its quarantined machines, and overdue provisioning from the leader.
func (g *Gateway) addControllerHealth(ctx context.Context, components *Components, s *Status) {
	ctx, cancel := context.WithTimeout(ctx, statusCallTimeout)
	defer cancel()
	s.Controllers, s.OverdueProvisioning = []agentapi.Health{}, []autoscaler.OverduePool{}
	for _, host := range g.settings.Hosts() {
		if slices.Contains(s.UnreachableControllers, host) {
			continue
		}
		var health agentapi.Health
		if components.Peers.Call(ctx, host, "Agent.Health", struct{}{}, &health) == nil {
			s.Controllers = append(s.Controllers, health)
		}
	}
	if s.Leader == "" {
		return
	}
	err := components.Peers.Call(ctx, s.Leader, "Steward.Overdue", struct{}{}, &s.OverdueProvisioning)
	if err != nil {
		slog.Debug("overdue provisioning query failed", "err", err)
	}
}

// addLocalDiagnostics adds what this process records about itself.
func (g *Gateway) addLocalDiagnostics(components *Components, s *Status) {
	if components.PeerTraffic != nil {
		s.PeerTraffic = components.PeerTraffic()
	}
	s.Latencies = g.latencies.summaries()
	s.RejectedQueries = g.rejectedQueries.Load()
	count, longest := g.processPauses()
	s.ProcessPauses, s.LongestPauseS = count, longest.Seconds()
	s.InvariantViolations = invariant.Violations()
}
