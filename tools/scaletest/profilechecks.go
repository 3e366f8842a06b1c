package scaletest

import (
	"fmt"
	"slices"
	"strings"

	"robinstack/internal/job"
	"robinstack/internal/policy"
)

// fieldCheck is the result of a check of one field of a profile.
type fieldCheck struct {
	failed  bool
	field   string // path of the field, as in fieldLine
	message string
}

// policyError returns the error in the profile's policy, or nil.
func (p *Profile) policyError() error {
	_, err := policy.Parse("policy", []byte(p.Controllers.Policy))
	return err
}

// Bounds of profile values. The minimums are the smallest values with which controllers work.
const (
	minDurationS           = 5
	maxDurationS           = 3600
	maxControllers         = 16
	minControllerMemoryMB  = 32
	minControllerSockets   = 100
	minValueKB             = 2
	minTxnOps              = 6
	minCancellationMarginS = 4 // minimum time from lease expiry to the cancellation deadline
	maxTeams               = 1000
	maxClassJobsPerSecond  = 1000
	maxImageBytes          = 32 << 10
)

// checks returns the checks of all fields, passed and failed.
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

// runChecks returns the checks of the run and its controllers.
func (p *Profile) runChecks() []fieldCheck {
	c, policyError := &p.Controllers, p.policyError()
	return []fieldCheck{
		{p.Name == "", "name", "is missing"},
		{p.Duration < minDurationS || p.Duration > maxDurationS, "duration_s", "must be 5 to 3600"},
		{p.Warmup < 0 || p.Warmup >= p.Duration, "warmup_s", "must be from 0 to below duration_s"},
		{c.Count < 1 || c.Count > maxControllers, "controllers.count", fmt.Sprintf("must be 1 to %d", maxControllers)},
		{c.MemoryMB < minControllerMemoryMB, "controllers.memory_mb", "must be at least 32"},
		{c.Sockets < minControllerSockets, "controllers.sockets", "must be at least 100"},
		{c.Cores <= 0, "controllers.cores", "must be above 0"},
		{policyError != nil, "controllers.policy", fmt.Sprint(policyError)},
	}
}

// serviceChecks returns the checks of the environment of the controllers: state service, cloud,
// workers, regions, teams and jobs.
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
		{w.Cancel < w.Lease+minCancellationMarginS, "workers.cancel_s", "must be at least 4 above lease_s"},
		{w.GangWait <= 0, "workers.gang_wait_s", "must be above 0"},
		{w.GangPeer <= 0, "workers.gang_peer_s", "must be above 0"},
		{w.Fetch <= 0, "workers.fetch_s", "must be above 0"},
		{len(p.Zones()) == 0, "regions", "must have at least one zone"},
		{p.Machines() == 0, "types", "must have at least one machine"},
		{p.Teams.Count < 1 || p.Teams.Count > maxTeams, "teams.count", "must be 1 to 1000"},
		{p.Teams.GPUs < 0 || p.Teams.GPUsMax < 0, "teams.gpus_max", "must not be negative"},
		{p.Configuration.PerDay < 0, "configuration.changes_per_day", "must not be negative"},
		{len(p.Jobs) == 0, "jobs", "must list at least one job class"},
	}
}

func (t *MachineType) checks(prefix string) []fieldCheck {
	return []fieldCheck{
		{t.Name == "", prefix + "name", "is missing"},
		{t.Count < 0, prefix + "count", "must not be negative"},
		{t.CPUs <= 0, prefix + "cpus", "must be above 0"},
		{t.MemoryGB <= 0, prefix + "memory_gb", "must be above 0"},
		{t.GPUs < 0, prefix + "gpus", "must not be negative"},
		{t.Price <= 0, prefix + "price", "must be above 0"},
		{t.Boot <= 0, prefix + "boot_s", "must be above 0"},
	}
}

func (c *JobClass) checks(prefix string) []fieldCheck {
	ranks := []string{"production", "high", "normal", "best_effort"}
	return []fieldCheck{
		{c.Name == "", prefix + "class", "is missing"},
		{c.Shape != job.Array && c.Shape != job.Gang, prefix + "shape", `must be "sweep" or "gang"`},
		{c.CheckpointS < 0 || c.SaveS < 0, prefix + "snapshot_s",
			"snapshot_every_s and snapshot_s must not be negative"},
		{c.WaitsOn < 0 || c.WaitsOn > job.MaxDependencies, prefix + "waits_on",
			fmt.Sprintf("must be 0 to %d", job.MaxDependencies)},
		{c.ImageBytes < 0 || c.ImageBytes > maxImageBytes, prefix + "image_bytes",
			fmt.Sprintf("must be 0 to %d", maxImageBytes)},
		{!slices.Contains(ranks, c.Rank), prefix + "rank", "must be one of " + strings.Join(ranks, ", ")},
		{len(c.Tasks) == 0 || slices.Min(c.Tasks) < 1, prefix + "tasks", "must list numbers above 0"},
		{c.CPUs < 0 || c.GPUs < 0 || c.MemoryGB < 0, prefix + "cpus", "cpus, gpus and memory_gb must not be negative"},
		{c.Run <= 0, prefix + "run_s", "must be above 0"},
		{c.PerSecond < 0 || c.PerSecond > maxClassJobsPerSecond, prefix + "jobs_per_s", "must be 0 to 1000"},
		{c.Cancelled < 0 || c.Cancelled > 1, prefix + "cancelled", "must be 0 to 1"},
		{c.Images < 1, prefix + "images", "must be at least 1"},
	}
}

func (f *Fault) checks(prefix string, p *Profile) []fieldCheck {
	kinds := []string{WorkerFails, WorkerHangs, RackFails, ZoneFails, ControllerFails}
	return []fieldCheck{
		{f.At < 0 || f.At >= float64(p.Duration), prefix + "at_s", "must be within duration_s"},
		{!slices.Contains(kinds, f.Kind), prefix + "kind", "must be one of " + strings.Join(kinds, ", ")},
		{f.Kind != ZoneFails && f.Count < 1, prefix + "count", "must be at least 1"},
		{f.Kind == ZoneFails && !slices.Contains(p.Zones(), f.Zone), prefix + "zone", "must be a zone of a region"},
		{f.For < 0, prefix + "for_s", "must not be negative"},
	}
}
