package soak

import (
	"time"

	"robinstack/tools/scaletest"
)

const (
	boxGPUs = 4
	// One in machinesPerSmall machines is of a small type that some classes of jobs do not fit, so that
	// after a takeover these jobs need not wait for all machines.
	machinesPerSmall = 3
	// machinesPerSpare is the number of initial machines for which the cloud offers one more.
	machinesPerSpare = 4
	// maxBootTime bounds the boot times of the initial machines.
	maxBootTime    = time.Second
	imageFetchTime = 300 * time.Millisecond
	// referenceMachines is the number of machines for which the rates of the job classes are given.
	referenceMachines = 40
	// maxRateScale bounds the rates of the job classes relative to referenceMachines. Larger clusters get
	// jobs with more tasks instead: the users are in one process, and the state service limits writes.
	maxRateScale = 6
	// splitImageBytes makes the spec of a job too large for one value of the state service.
	splitImageBytes = 2200
)

// policyText makes the cluster enable all features within seconds, so that the load uses them.
const policyText = "rollout_soak_s = 1\n"

// newProfile returns the deployment and the load of a run. The leases are short, so that a run of a
// minute sees many of them expire.
func newProfile(o *Options, seed uint64) *scaletest.Profile {
	scale := float64(o.Machines) / referenceMachines
	rate := min(scale, maxRateScale)
	tasks := func(counts ...int) []int {
		for i := range counts {
			counts[i] = int(float64(counts[i]) * scale / rate)
		}
		return counts
	}
	small := o.Machines / machinesPerSmall
	return &scaletest.Profile{
		Name: "soak", Duration: int(o.Duration.Seconds()), Seed: seed,
		Controllers: scaletest.Controllers{
			Count: o.Controllers, Cores: 0.5, MemoryMB: 256, Sockets: 4000, Policy: policyText,
		},
		State: scaletest.State{RPS: 400, WriteRPS: 200, ValueKB: 2, TxnOps: 10},
		Cloud: scaletest.Cloud{RPS: 20, ListLag: cloudListLag.Seconds()},
		Workers: scaletest.Workers{
			Report: 1.5, Lease: 10, GangWait: 15, GangPeer: 3, Cancel: 20, Fetch: imageFetchTime.Seconds(),
		},
		Regions: []scaletest.Region{{Name: "north", Zones: []string{"north-1", "north-2"}}},
		Types: []scaletest.MachineType{
			{Name: "box", Count: o.Machines - small, CPUs: 16, GPUs: boxGPUs, MemoryGB: 128, Boot: 1, Price: 10},
			{Name: "small", Count: small, CPUs: 4, GPUs: boxGPUs / 2, MemoryGB: 32, Boot: 1, Price: 4},
		},
		Teams: scaletest.Teams{Count: 3, GPUs: 10 * scale, GPUsMax: 28 * scale},
		Jobs: []scaletest.JobClass{
			{Name: "train", Shape: "gang", Rank: "high", Tasks: []int{1, 2, 4}, CPUs: 8, GPUs: boxGPUs,
				MemoryGB: 32, Run: 8, PerSecond: 0.2 * rate, OneZone: true, Cancelled: 0.15, Images: 3},
			{Name: "read", Shape: "sweep", Rank: "normal", Tasks: tasks(3, 6, 12), CPUs: 1, GPUs: 1, MemoryGB: 4,
				Run: 9, PerSecond: 0.5 * rate, Cancelled: 0.15, Images: 6, CheckpointS: 3, SaveS: 1},
			{Name: "long", Shape: "sweep", Rank: "normal", Tasks: tasks(1, 2), CPUs: 5, GPUs: 1, MemoryGB: 4,
				Run: 25, PerSecond: 0.3 * rate, OneZone: true, Cancelled: 0.1, Images: 3},
			{Name: "even", Shape: "sweep", Rank: "high", Tasks: tasks(2, 4), CPUs: 1, GPUs: 1, MemoryGB: 2,
				Run: 6, PerSecond: 0.2 * rate, Spread: true, Cancelled: 0.1, Images: 2},
			{Name: "single", Shape: "sweep", Rank: "normal", Tasks: []int{1}, CPUs: 1, MemoryGB: 1,
				Run: 2, PerSecond: 1 * rate, Cancelled: 0.25, Images: 2},
			{Name: "merge", Shape: "sweep", Rank: "normal", Tasks: tasks(1, 3), CPUs: 1, GPUs: 1, MemoryGB: 2,
				Run: 4, PerSecond: 0.15 * rate, Cancelled: 0.1, Images: 2, WaitsOn: 3},
			{Name: "split", Shape: "sweep", Rank: "normal", Tasks: tasks(1, 2), CPUs: 1, GPUs: 1, MemoryGB: 2,
				Run: 8, PerSecond: 0.1 * rate, Cancelled: 0.1, Images: 2, ImageBytes: splitImageBytes},
			{Name: "serve", Shape: "standing", Rank: "high", Tasks: []int{1, 2}, CPUs: 1, MemoryGB: 2,
				Run: 20, PerSecond: 0.1 * rate, Cancelled: 1, Images: 2},
		},
	}
}
