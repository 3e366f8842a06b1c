package gateway

import (
	"fmt"
	"testing"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// The page of a fleet of 1,500 machines gives totals, and machines one by one
// only to those who ask.
func TestStatusSummarizesLargeCluster(t *testing.T) {
	g := &Gateway{catalogue: &cloud.Catalogue{}}
	g.catalogue.Set([]cloud.MachineType{{Name: "box", GPUs: 8}})
	var entries []agentapi.MachineEntry
	for i := range 1500 {
		e := agentapi.MachineEntry{Machine: fmt.Sprintf("vm-%06d", i), Host: fmt.Sprint("host-", i%3), Type: "box", Zone: "a", Spot: i%2 == 1, Settled: true, Silent: i == 4}
		if i < 100 {
			e.Tasks = []agentapi.TaskEntry{{TaskRef: agentapi.TaskRef{Job: "wk-1", Index: i}, Need: job.Need{GPUs: 3}, State: worker.TaskRunning}, {State: worker.TaskExited}}
		}
		entries = append(entries, e)
	}
	pools := g.poolStatuses(entries)
	if len(pools) != 2 || pools[0].Spot || pools[0].Machines != 750 || pools[0].Empty != 700 || pools[0].Tasks != 50 || pools[0].FreeGPUs != 750*8-150 || pools[0].States["silent"] != 1 || pools[1].Owners["host-0"] != 250 {
		t.Fatalf("%+v", pools)
	}
	if n := len(machineStatuses(entries, "")); n != 0 {
		t.Fatalf("%d machines that nobody asked for", n)
	}
	if one := machineStatuses(entries, "vm-000007"); len(one) != 1 || len(one[0].Tasks) != 2 || len(machineStatuses(entries, "all")) != 1500 {
		t.Fatalf("%+v", one)
	}
}
