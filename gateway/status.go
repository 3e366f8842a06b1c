package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"robinstack/agent"
	"robinstack/job"
	"robinstack/placer"
	"robinstack/worker"
)

// Status is the read-only page that shows who holds what.
type Status struct {
	Host       string           `json:"host"`
	Ready      bool             `json:"state_service_reached"`
	Steward    string           `json:"steward"`
	Teams      []TeamStatus     `json:"teams"`
	Machines   []MachineStatus  `json:"machines"`
	Waiting    []placer.Waiting `json:"waiting"`
	Placer     placer.Counters  `json:"placer_counters"`
	Agent      agent.Counters   `json:"agent_counters"`
	Unreadable []string         `json:"controllers_without_answer"`
}

// TeamStatus is what a team holds against what it is due.
type TeamStatus struct {
	Team           string  `json:"team"`
	CPUs           float64 `json:"cpus_held"`
	GPUs           float64 `json:"gpus_held"`
	GuaranteedCPUs float64 `json:"cpus_guaranteed"`
	GuaranteedGPUs float64 `json:"gpus_guaranteed"`
	MostCPUs       float64 `json:"cpus_limit"`
	MostGPUs       float64 `json:"gpus_limit"`
	BorrowedCPUs   float64 `json:"cpus_borrowed"`
	BorrowedGPUs   float64 `json:"gpus_borrowed"`
	Waiting        int     `json:"tasks_waiting"`
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

func (g *Gateway) status(c *fiber.Ctx) error {
	l := g.life.Load()
	if l == nil {
		return later(c, "starting")
	}
	s := Status{Host: g.settings.Host, Ready: l.Member.Certain(), Steward: l.Placer.StewardHost(), Placer: l.Placer.CountersNow()}
	s.Agent, _ = l.Agent.Snapshot()
	held := map[string]job.Need{}
	for _, e := range l.Feed.Entries() {
		m := MachineStatus{Machine: e.Machine, Owner: e.Host, Type: e.Type, Zone: e.Zone, Spot: e.Spot, State: machineState(&e), Tasks: []string{}}
		for _, t := range e.Tasks {
			m.Tasks = append(m.Tasks, job.TaskID(t.Job, t.Index)+" "+t.State)
			if t.State != worker.Ended {
				held[t.Team] = held[t.Team].Add(t.Need, 1)
			}
		}
		slices.Sort(m.Tasks)
		s.Machines = append(s.Machines, m)
	}
	slices.SortFunc(s.Machines, func(a, b MachineStatus) int { return strings.Compare(a.Machine, b.Machine) })
	waiting := g.waiting(c.Context(), l, &s)
	for name, t := range g.settings.Teams {
		u := held[name]
		s.Teams = append(s.Teams, TeamStatus{Team: name, CPUs: u.CPUs, GPUs: u.GPUs, GuaranteedCPUs: t.CPUs, GuaranteedGPUs: t.GPUs,
			MostCPUs: t.CPUsMax, MostGPUs: t.GPUsMax, BorrowedCPUs: max(0, u.CPUs-t.CPUs), BorrowedGPUs: max(0, u.GPUs-t.GPUs), Waiting: waiting[name]})
	}
	slices.SortFunc(s.Teams, func(a, b TeamStatus) int { return strings.Compare(a.Team, b.Team) })
	return c.JSON(s)
}

// waiting gathers the jobs that wait, from all placers.
func (g *Gateway) waiting(ctx context.Context, l *Life, s *Status) map[string]int {
	byTeam := map[string]int{}
	hosts := []string{g.settings.Host}
	for _, p := range g.settings.Peers {
		hosts = append(hosts, p.Host)
	}
	s.Waiting, s.Unreadable = []placer.Waiting{}, []string{}
	for _, h := range hosts {
		cctx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
		var reply []placer.Waiting
		if err := l.Call.Call(cctx, h, "Placer.Queue", 100, &reply); err != nil {
			s.Unreadable = append(s.Unreadable, h)
		}
		cancel()
		s.Waiting = append(s.Waiting, reply...)
		for _, w := range reply {
			byTeam[w.Team] += w.Tasks
		}
	}
	return byTeam
}

func machineState(e *agent.Entry) string {
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
