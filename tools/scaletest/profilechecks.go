package scaletest

import (
	"fmt"
	"slices"
	"strings"

	"robinstack/internal/job"
	"robinstack/internal/policy"
)

// fieldCheck is a check of a field of a profile.
type fieldCheck struct {
	failed  bool
	field   string // as lineOf takes it
	message string
}

// policyError says what is wrong with what operators set, or nothing.
func (p *Profile) policyError() error {
	_, err := policy.Parse("policy", []byte(p.Controllers.Policy))
	return err
}

// Bounds of what a profile may state. The smallest are those under which controllers work.
const (
	minDurationS     = 5
	maxDurationS     = 3600
	maxControllers   = 16
	minMemoryMB      = 32
	minSockets       = 100
	minValueKB       = 2
	minTxnOps        = 6
	minCancelMarginS = 4 // of the cancellation deadline beyond the lease
	maxTeams         = 1000
	maxJobsPerSecond = 1000
)

// checks lists the checks of all fields.
func (p *Profile) checks() []fieldCheck {
	out := slices.Concat(p.runChecks(), p.serviceChecks())
	for k := range p.Types {
		out = append(out, p.Types[k].checks(fmt.Sprintf("types[%d].", k))...)
	}
	for k := range p.Jobs {
		out = append(out, p.Jobs[k].checks(fmt.Sprintf("jobs[%d].", k))...)
	}
	for k := range p.Faults {
		out = append(out, p.Faults[k].checks(fmt.Sprintf("faults[%d].", k), p)...)
	}
	for _, n := range p.Sweep.Controllers {
		message := fmt.Sprintf("each must be 1 to %d", maxControllers)
		out = append(out, fieldCheck{n < 1 || n > maxControllers, "sweep.controllers", message})
	}
	return out
}

// runChecks are those of the run and its controllers.
func (p *Profile) runChecks() []fieldCheck {
	c, policyError := &p.Controllers, p.policyError()
	return []fieldCheck{
		{p.Name == "", "name", "is missing"},
		{p.Duration < minDurationS || p.Duration > maxDurationS, "duration_s", "must be 5 to 3600"},
		{p.Warmup < 0 || p.Warmup >= p.Duration, "warmup_s", "must be from 0 to below duration_s"},
		{c.Count < 1 || c.Count > maxControllers, "controllers.count", fmt.Sprintf("must be 1 to %d", maxControllers)},
		{c.MemoryMB < minMemoryMB, "controllers.memory_mb", "must be at least 32"},
		{c.Sockets < minSockets, "controllers.sockets", "must be at least 100"},
		{c.Cores <= 0, "controllers.cores", "must be above 0"},
		{policyError != nil, "controllers.policy", fmt.Sprint(policyError)},
	}
}

// serviceChecks are those of what is around the controllers.
func (p *Profile) serviceChecks() []fieldCheck {
	w := &p.Workers
	return []fieldCheck{
		{p.State.RPS <= 0, "state.rps", "must be above 0"},
		{p.State.WriteRPS <= 0, "state.write_rps", "must be above 0"},
		{p.State.ValueKB < minValueKB, "state.value_kb", "must be at least 2"},
		{p.State.TxnOps < minTxnOps, "state.txn_ops", "must be at least 6"},
		{p.Cloud.RPS <= 0, "cloud.rps", "must be above 0"},
		{p.Cloud.ListLag < 0, "cloud.list_lag_s", "must not be negative"},
		{w.Report <= 0, "workers.report_s", "must be above 0"},
		{w.Lease <= w.Report, "workers.lease_s", "must be above report_s"},
		{w.Cancel < w.Lease+minCancelMarginS, "workers.cancel_s", "must be at least 4 above lease_s"},
		{w.GangWait <= 0, "workers.gang_wait_s", "must be above 0"},
		{w.GangPeer <= 0, "workers.gang_peer_s", "must be above 0"},
		{w.Fetch <= 0, "workers.fetch_s", "must be above 0"},
		{len(p.Zones()) == 0, "regions", "there is no zone"},
		{p.Machines() == 0, "types", "there is no machine"},
		{p.Teams.Count < 1 || p.Teams.Count > maxTeams, "teams.count", "must be 1 to 1000"},
		{p.Teams.GPUs < 0 || p.Teams.GPUsMax < 0, "teams.gpus_max", "must not be negative"},
		{p.Configuration.PerDay < 0, "configuration.changes_per_day", "must not be negative"},
		{len(p.Jobs) == 0, "jobs", "there is none"},
	}
}

func (t *MachineType) checks(at string) []fieldCheck {
	return []fieldCheck{
		{t.Name == "", at + "name", "is missing"},
		{t.Count < 0, at + "count", "must not be negative"},
		{t.CPUs <= 0, at + "cpus", "must be above 0"},
		{t.MemoryGB <= 0, at + "memory_gb", "must be above 0"},
		{t.GPUs < 0, at + "gpus", "must not be negative"},
		{t.Price <= 0, at + "price", "must be above 0"},
		{t.Boot <= 0, at + "boot_s", "must be above 0"},
	}
}

func (c *JobClass) checks(at string) []fieldCheck {
	ranks := []string{"production", "high", "normal", "best_effort"}
	return []fieldCheck{
		{c.Name == "", at + "class", "is missing"},
		{c.Shape != job.Array && c.Shape != job.Gang, at + "shape", `must be "sweep" or "gang"`},
		{!slices.Contains(ranks, c.Rank), at + "rank", "is unknown"},
		{len(c.Tasks) == 0 || slices.Min(c.Tasks) < 1, at + "tasks", "must list numbers above 0"},
		{c.CPUs < 0 || c.GPUs < 0 || c.MemoryGB < 0, at + "cpus", "has a negative amount"},
		{c.Run <= 0, at + "run_s", "must be above 0"},
		{c.PerSecond < 0 || c.PerSecond > maxJobsPerSecond, at + "jobs_per_s", "must be 0 to 1000"},
		{c.Cancelled < 0 || c.Cancelled > 1, at + "cancelled", "must be 0 to 1"},
		{c.Images < 1, at + "images", "must be at least 1"},
	}
}

func (f *Fault) checks(at string, p *Profile) []fieldCheck {
	kinds := []string{WorkerFails, WorkerHangs, RackFails, ZoneFails, ControllerFails}
	return []fieldCheck{
		{f.At < 0 || f.At >= float64(p.Duration), at + "at_s", "must be within duration_s"},
		{!slices.Contains(kinds, f.Kind), at + "kind", "must be one of " + strings.Join(kinds, ", ")},
		{f.Kind != ZoneFails && f.Count < 1, at + "count", "must be at least 1"},
		{f.Kind == ZoneFails && !slices.Contains(p.Zones(), f.Zone), at + "zone", "is no zone of a region"},
		{f.For < 0, at + "for_s", "must not be negative"},
	}
}
