package scaletest

import "slices"

// cost describes one row of the capacity tables: a measured quantity of one role.
type cost struct {
	role, name, unit string
	measure          func(r *Result) float64
	terms            []term
	limit            func(l Limits) float64 // 0: no limit
	mechanism        string                 // mechanism that carries the load or bounds the cost
}

// label returns the cost's name, followed by its unit in parentheses if it has one.
func (c *cost) label() string {
	if c.unit == "" {
		return c.name
	}
	return c.name + " (" + c.unit + ")"
}

func noLimit(Limits) float64       { return 0 }
func coresLimit(l Limits) float64  { return l.Cores }
func memoryLimit(l Limits) float64 { return l.MemoryMB }
func socketLimit(l Limits) float64 { return l.Sockets }

// workerTrafficLimitBytesPerSecond is the operators' limit on the traffic of one worker: 2 KB per
// second.
const workerTrafficLimitBytesPerSecond = 2000

// The terms that the costs of the tables are fitted with.
var (
	byMachine              = []term{fixedTerm, machineTerm}
	byPair                 = []term{fixedTerm, pairTerm}
	byOwnedAndMachine      = []term{fixedTerm, ownedMachineTerm, machineTerm}
	byOwnedAndController   = []term{fixedTerm, ownedMachineTerm, controllerTerm}
	byMachineAndController = []term{fixedTerm, machineTerm, controllerTerm}
)

// costs lists the rows of the capacity tables, grouped by role.
func costs() []cost {
	return slices.Concat(controllerCosts(), leaderCosts(), linkCosts(), stateServiceCosts(), workerCosts())
}

func perSecond(count func(r *Result) float64) func(r *Result) float64 {
	return func(r *Result) float64 { return r.perSecond(count(r)) }
}

func controllerCosts() []cost {
	const role = "controller (placer, machine owner, gateway)"
	mean := func(value func(c *ControllerResult) float64) func(r *Result) float64 {
		return func(r *Result) float64 { return r.mean(isFollower, value) }
	}
	return []cost{
		{
			role: role, name: "processor time", unit: "cores",
			measure: mean(meanCores), terms: byOwnedAndMachine, limit: coresLimit,
			mechanism: "machines divided among controllers by shards; samples answered from memory",
		},
		{
			role: role, name: "processor time, worst second", unit: "cores",
			measure: mean(maxCores), terms: byOwnedAndMachine, limit: coresLimit,
			mechanism: "the same; a second beyond the share is worked off later",
		},
		{
			role: role, name: "memory", unit: "MB",
			measure: mean(maxMemoryMB), terms: byOwnedAndMachine, limit: memoryLimit,
			mechanism: "entries of all machines; the collector's limit at 0.6 of the quota",
		},
		{
			role: role, name: "open files", unit: "",
			measure: mean(maxOpenFiles), terms: byOwnedAndController, limit: socketLimit,
			mechanism: "one connection from each owned worker; those for commands close after 3 s",
		},
	}
}

func leaderCosts() []cost {
	return []cost{
		{
			role: "steward, beyond that", name: "processor time", unit: "cores",
			measure: func(r *Result) float64 { return r.mean(isLeader, meanCores) - r.mean(isFollower, meanCores) },
			terms:   byMachine, limit: coresLimit,
			mechanism: "one steward: ledger of permits, plan of the fleet",
		},
		{
			role: "steward", name: "permits", unit: "calls/s",
			measure: callsPerSecond(quotaMethod), terms: byMachine, limit: noLimit,
			mechanism: "one steward answers all",
		},
	}
}

// RPC methods between controllers whose call rates are reported.
const (
	watchMethod  = "Agent.Watch"
	sampleMethod = "Agent.Sample"
	commitMethod = "Agent.Commit"
	quotaMethod  = "Steward.Permit"
)

func callsPerSecond(method string) func(r *Result) float64 {
	return perSecond(func(r *Result) float64 { return float64(r.calls(method)) })
}

func linkCosts() []cost {
	const role = "links between controllers"
	return []cost{
		{
			role: role, name: "all bytes", unit: "bytes/s",
			measure: perSecond((*Result).linkBytes), terms: byPair, limit: noLimit,
			mechanism: "each controller follows every machine's entry",
		},
		{
			role: role, name: "feeds", unit: "calls/s",
			measure: callsPerSecond(watchMethod), terms: byPair, limit: noLimit,
			mechanism: "long polls, at most 300 entries each",
		},
		{
			role: role, name: "samples", unit: "calls/s",
			measure: callsPerSecond(sampleMethod), terms: byPair, limit: noLimit,
			mechanism: "every owner is asked for each placement (C_p is 1)",
		},
		{
			role: role, name: "commits", unit: "calls/s",
			measure: callsPerSecond(commitMethod), terms: byMachine, limit: noLimit,
			mechanism: "one for each job and machine",
		},
	}
}

func stateServiceCosts() []cost {
	const role = "state service"
	return []cost{
		{
			role: role, name: "requests", unit: "requests/s",
			measure: perSecond(func(r *Result) float64 { return float64(r.StateService.Requests) }),
			terms:   byMachineAndController, limit: func(l Limits) float64 { return l.RPS },
			mechanism: "shared watches and reads; a paced client in each controller",
		},
		{
			role: role, name: "changes", unit: "changes/s",
			measure: perSecond(func(r *Result) float64 { return float64(r.StateService.Changes) }),
			terms:   byMachineAndController, limit: func(l Limits) float64 { return l.WriteRPS },
			mechanism: "shares of the write limit; jobs, ends and registrations only, nothing for a start",
		},
		{
			role: role, name: "keys", unit: "",
			measure: func(r *Result) float64 { return float64(r.StateService.MaxKeys) },
			terms:   byMachineAndController, limit: noLimit,
			mechanism: "one for each machine and open job",
		},
		{
			role: role, name: "bytes kept", unit: "bytes",
			measure: func(r *Result) float64 { return float64(r.StateService.MaxBytes) },
			terms:   byMachineAndController, limit: noLimit,
			mechanism: "values of some hundred bytes",
		},
	}
}

func workerCosts() []cost {
	const process = "workers' process"
	return []cost{
		{
			role: process, name: "processor time", unit: "cores",
			measure: func(r *Result) float64 { return r.LoadProcess.MeanCores }, terms: byMachine, limit: noLimit,
			mechanism: "hollow workers; users and the cloud are the fixed part and grow with them",
		},
		{
			role: process, name: "memory", unit: "MB",
			measure: func(r *Result) float64 { return r.LoadProcess.MaxMemoryMB }, terms: byMachine, limit: noLimit,
			mechanism: "hollow workers",
		},
		{
			role: "worker", name: "traffic, HTTP headers included", unit: "bytes/s each",
			measure: func(r *Result) float64 { return r.perSecond(float64(r.Load.WorkerBytes)) / float64(r.Machines) },
			terms:   byMachine, limit: func(Limits) float64 { return workerTrafficLimitBytesPerSecond },
			mechanism: "reports each 6 s and after changes; commands",
		},
	}
}
