package autoscaler

import (
	"maps"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
)

// demandDuration is how long what a controller reported of its jobs counts.
const demandDuration = 15 * time.Second

// DemandReports holds what the controllers last reported of their jobs. It is not safe for
// concurrent use.
type DemandReports struct {
	byHost map[string]demandReport
}

type demandReport struct {
	jobs []Demand
	at   time.Time
}

// NewDemandReports returns an empty set of reports.
func NewDemandReports() *DemandReports {
	return &DemandReports{byHost: map[string]demandReport{}}
}

// Record takes in a controller's report, in place of its last one.
func (r *DemandReports) Record(request DemandRequest, now time.Time) {
	r.byHost[request.Host] = demandReport{jobs: request.Jobs, at: now}
}

// current drops the reports that do not count any more and returns the jobs of the others.
func (r *DemandReports) current(now time.Time) []Demand {
	var jobs []Demand
	for host, report := range r.byHost {
		if now.Sub(report.at) > demandDuration {
			delete(r.byHost, host)
			continue
		}
		jobs = append(jobs, report.jobs...)
	}
	return jobs
}

// demand lists what waits, within the teams' quotas and with the capacity that is kept warm,
// and what running tasks will leave.
func (f *Fleet) demand(snapshot *Snapshot) ([]Demand, turnover) {
	now := snapshot.Now
	var waiting []Demand
	turnover := newTurnover(snapshot.Types)
	jobs := snapshot.Demand.current(now)
	for i := range jobs {
		d := &jobs[i]
		if d.Spec.Shape == job.Gang && d.Spec.Priority() > job.LowestPriority {
			f.gangClasses[d.Spec.Class] = gangClass{d.Spec, now}
		}
		turnover.add(d)
		if d.Waiting > 0 {
			waiting = append(waiting, *d)
		}
	}
	limitToQuotas(waiting, f.settings, snapshot.TeamUsage)
	turnover.growing = f.backlog.grows(now) && f.backlog.last() > turnover.beforeProvisioned()
	return append(waiting, f.warmDemand(now)...), turnover
}

// limitToQuotas cuts the demand down to what the teams' quotas let run.
func limitToQuotas(demands []Demand, settings *config.Settings, usage map[string]job.Resources) {
	const unlimited = 1e18 // of CPUs, GPUs or GB
	usage = maps.Clone(usage)
	for i := range demands {
		d := &demands[i]
		name := d.Spec.Team
		if !settings.HasQuota(name) {
			continue
		}
		team := settings.Teams[name]
		free := job.Resources{CPUs: unlimited, GPUs: unlimited, MemoryGB: unlimited}
		if team.CPUQuota > 0 {
			free.CPUs = team.CPUQuota - usage[name].CPUs
		}
		if team.GPUQuota > 0 {
			free.GPUs = team.GPUQuota - usage[name].GPUs
		}
		d.Waiting = min(d.Waiting, d.Spec.CountIn(free))
		usage[name] = usage[name].AddScaled(d.Spec.Need, float64(d.Waiting))
	}
}

// warmDuration is how long after its last job a class of gangs has capacity kept ready.
const warmDuration = 2 * time.Minute

// lowestRank is the rank of a job whose priority is job.LowestPriority.
const lowestRank = "best_effort"

// gangClass is a class of gangs for which capacity is kept ready.
type gangClass struct {
	spec     job.Spec // of the latest gang
	lastSeen time.Time
}

// warmDemand asks for capacity for the next gangs: of whole machines there is seldom one
// free by chance, and provisioning takes longer than they are to wait.
func (f *Fleet) warmDemand(now time.Time) []Demand {
	var warm []Demand
	for class, gang := range f.gangClasses {
		if now.Sub(gang.lastSeen) > warmDuration {
			delete(f.gangClasses, class)
			continue
		}
		gang.spec.Rank = lowestRank // behind all that really waits
		gang.spec.DeadlineS = nil
		warm = append(warm, Demand{Spec: gang.spec, Waiting: f.policy.WarmTasksPerGangClass, Warm: true})
	}
	return warm
}
