package scaletest

import "robinstack/emulator"

// LoadResult holds the measurements of the load process.
type LoadResult struct {
	Classes     []ClassResult `json:"classes"`
	UrgentStart Latency       `json:"urgent_start"`
	OtherStart  Latency       `json:"other_start"`
	Submissions Latency       `json:"submissions"`

	Submitted int `json:"jobs_submitted"`
	Accepted  int `json:"jobs_accepted"`
	GivenUp   int `json:"jobs_given_up_by_users"`
	Done      int `json:"jobs_done"`
	Cancelled int `json:"jobs_cancelled"`

	TaskStarts               int     `json:"task_starts"`
	TaskRestarts             int     `json:"task_starts_again"`
	TasksKilledByLeaseExpiry int     `json:"tasks_killed_by_lease"`
	MaxRunningTasks          int     `json:"most_tasks_running"`
	MaxStartsPerSecond       int     `json:"peak_starts_a_second"`
	MaxMeanStartsOver10S     float64 `json:"starts_a_second_best_10_s"`
	MaxQuotaOvershoot        float64 `json:"quota_overshoot_gpus"`

	Heartbeats    uint64 `json:"worker_reports"`
	Commands      uint64 `json:"worker_commands"`
	WorkerBytes   uint64 `json:"worker_bytes"`
	CloudRequests uint64 `json:"cloud_requests"`
	CloudRefused  uint64 `json:"cloud_refused"`

	WorkerLateness Latency `json:"worker_lateness"`
	UserLateness   Latency `json:"user_lateness"`

	Violations []string `json:"rules_broken"`
}

// ClassResult holds the results of one job class. Jobs counts all submitted jobs, Start covers the
// tasks of those submitted after the warm-up.
type ClassResult struct {
	Class string  `json:"class"`
	Jobs  int     `json:"jobs"`
	Start Latency `json:"start"`
}

// Progress is the report that the load process writes each second.
type Progress struct {
	Second       int `json:"second"`
	MachinesUp   int `json:"machines_up"`
	TasksRunning int `json:"tasks_running"`
	Starts       int `json:"starts"` // task starts since the previous report
	OpenJobs     int `json:"jobs_open"`
}

// result returns the measurements so far.
func (l *loadGenerator) result() *LoadResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &LoadResult{
		TaskStarts:               l.history.TaskStarts(),
		TaskRestarts:             l.history.TaskRestarts(),
		TasksKilledByLeaseExpiry: l.cloud.TasksKilledByLeaseExpiry(),
		MaxRunningTasks:          l.maxRunning,
		MaxQuotaOvershoot:        l.history.MaxQuotaOvershoot(),
		CloudRequests:            l.cloudServer.Requests(),
		CloudRefused:             l.cloudServer.RateLimited(),
		WorkerLateness:           l.stepLateness.latency(),
		Violations:               l.history.Violations(),
	}
	r.addTraffic(&l.network.Traffic)
	r.addStartRates(l.startsBySecond)
	submitted := l.users.addResults(r)
	urgent, other := newHistogram(), newHistogram()
	for _, c := range l.plan.Profile.Jobs {
		waits := l.startWaits[c.Name]
		r.Classes = append(r.Classes, ClassResult{Class: c.Name, Jobs: submitted[c.Name], Start: waits.latency()})
		if c.Urgent {
			urgent.merge(waits)
		} else {
			other.merge(waits)
		}
	}
	r.UrgentStart, r.OtherStart = urgent.latency(), other.latency()
	return r
}

func (r *LoadResult) addTraffic(t *emulator.Traffic) {
	r.Heartbeats, r.Commands = t.Heartbeats.Load(), t.Commands.Load()
	r.WorkerBytes = t.Bytes.Received.Load() + t.Bytes.Sent.Load()
}

// startRateWindowS is the length, in seconds, of the moving window for MaxMeanStartsOver10S.
const startRateWindowS = 10

// addStartRates computes the highest start rates, over one second and over the moving window, from
// the number of starts in each second.
func (r *LoadResult) addStartRates(startsBySecond []int) {
	sum := 0
	for k, n := range startsBySecond {
		r.MaxStartsPerSecond = max(r.MaxStartsPerSecond, n)
		if sum += n; k >= startRateWindowS {
			sum -= startsBySecond[k-startRateWindowS]
		}
		r.MaxMeanStartsOver10S = max(r.MaxMeanStartsOver10S, float64(sum)/startRateWindowS)
	}
}
