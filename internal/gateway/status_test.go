package gateway

import (
	"fmt"
	"testing"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// The status page of a cluster with 1,500 machines has totals, and lists single machines only on
// request.
func TestStatusSummarizesLargeCluster(t *testing.T) {
	types := map[string]cloud.MachineType{"box": {Name: "box", GPUs: 8}}
	var entries []agentapi.MachineEntry
	for i := range 1500 {
		entry := agentapi.MachineEntry{
			Machine: fmt.Sprintf("vm-%06d", i),
			Host:    fmt.Sprint("host-", i%3),
			Type:    "box",
			Zone:    "a",
			Spot:    i%2 == 1,
			Settled: true,
			Silent:  i == 4,
		}
		if i < 100 {
			entry.Tasks = []agentapi.TaskEntry{
				{
					TaskRef: agentapi.TaskRef{Job: "wk-1", Index: i},
					Need:    job.Resources{GPUs: 3},
					State:   worker.TaskRunning,
				},
				{State: worker.TaskExited},
			}
		}
		entries = append(entries, entry)
	}
	pools := poolStatuses(entries, types)
	if len(pools) != 2 {
		t.Fatalf("got pools %+v, want 2", pools)
	}
	onDemand, spot := pools[0], pools[1]
	if onDemand.Spot || onDemand.Machines != 750 || onDemand.Empty != 700 || onDemand.Tasks != 50 ||
		onDemand.FreeGPUs != 750*8-150 || onDemand.States["silent"] != 1 || spot.Owners["host-0"] != 250 {
		t.Fatalf("got pools %+v; want 750 on-demand machines, 700 of them empty, with 50 tasks, %d free GPUs "+
			"and 1 silent, and 250 spot machines of host-0", pools, 750*8-150)
	}
	if n := len(machineStatuses(entries, "")); n != 0 {
		t.Fatalf("got %d machines without a request for them, want none", n)
	}
	single := machineStatuses(entries, "vm-000007")
	if len(single) != 1 || len(single[0].Tasks) != 2 || len(machineStatuses(entries, "all")) != 1500 {
		t.Fatalf("got %+v for one machine, want it with 2 tasks, and 1,500 machines on request for all", single)
	}
}
