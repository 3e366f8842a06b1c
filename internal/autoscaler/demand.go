package autoscaler

import (
	"maps"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
)

// demandReportTTL is how long a demand report is used. Older reports are dropped.
const demandReportTTL = 15 * time.Second

// DemandReports holds the latest demand report of each controller. It is not safe for concurrent
// use.
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

// Record stores a controller's report in place of its previous report.
func (r *DemandReports) Record(request DemandRequest, now time.Time) {
	r.byHost[request.Host] = demandReport{jobs: request.Jobs, at: now}
}

// current drops expired reports and returns the jobs of the other reports.
func (r *DemandReports) current(now time.Time) []Demand {
	var jobs []Demand
	for host, report := range r.byHost {
		if now.Sub(report.at) > demandReportTTL {
			delete(r.byHost, host)
			continue
		}
		jobs = append(jobs, report.jobs...)
	}
	return jobs
}

// demand returns the waiting tasks, limited to the teams' quotas, together with the warm capacity
// for gangs, and a forecast of the capacity that running tasks free.
func (f *Fleet) demand(snapshot *Snapshot) ([]Demand, freedCapacityForecast) {
	now := snapshot.Now
	var waiting []Demand
	freedCapacity := newFreedCapacityForecast(snapshot.Types)
	jobs := snapshot.Demand.current(now)
	for i := range jobs {
		d := &jobs[i]
		if d.Spec.Shape == job.Gang && d.Spec.Priority() > job.LowestPriority {
			f.gangClasses[d.Spec.Class] = gangClass{d.Spec, now}
		}
		freedCapacity.add(d)
		if d.Waiting > 0 {
			waiting = append(waiting, *d)
		}
	}
	limitToQuotas(waiting, f.settings, snapshot.TeamUsage)
	freedCapacity.growing = f.backlog.grows(now) && f.backlog.last() > freedCapacity.freedDuringProvisioning()
	return append(waiting, f.warmDemand(now)...), freedCapacity
}

// limitToQuotas reduces the waiting tasks to the number that the teams' quotas allow to run.
func limitToQuotas(demands []Demand, settings *config.Settings, usage map[string]job.Resources) {
	const unlimited = 1e18 // CPUs, GPUs or GB
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

// warmDuration is how long warm capacity is kept for a class of gangs after its last gang was seen.
const warmDuration = 2 * time.Minute

// lowestRank is the rank of a job whose priority is job.LowestPriority.
const lowestRank = "best_effort"

// gangClass is a scheduling class with gangs for which warm capacity is kept.
type gangClass struct {
	spec     job.Spec // of the latest gang
	lastSeen time.Time
}

// warmDemand returns the demand for the warm capacity of future gangs. Gangs need whole machines,
// which are seldom free by chance, and provisioning takes longer than gangs may wait.
func (f *Fleet) warmDemand(now time.Time) []Demand {
	var warm []Demand
	for class, gang := range f.gangClasses {
		if now.Sub(gang.lastSeen) > warmDuration {
			delete(f.gangClasses, class)
			continue
		}
		gang.spec.Rank = lowestRank // after all tasks that are waiting now
		gang.spec.DeadlineS = nil
		warm = append(warm, Demand{Spec: gang.spec, Waiting: f.policy.WarmTasksPerGangClass, Warm: true})
	}
	return warm
}
