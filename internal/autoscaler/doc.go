// Package autoscaler decides how many machines the cluster has: which to request, which
// idle ones to return and which lost ones to delete. It packs the demand into the machines
// there are and into what the cloud offers, counts on machines that are provisioning as
// far as their pool deserves it, keeps warm capacity for gangs, and leaves alone what will
// be wanted again soon.
//
// Fleet holds what the leader of one epoch knows of the machines, DemandReports what the
// controllers' jobs need. Both are guarded by the mutex of their owner, package leader:
// planning reads a Snapshot, and neither locks, blocks, logs nor reads a clock. The calls to
// the cloud, ScaleOut and ScaleIn, keep no state.
//
// It may import the types of other packages (agentapi, cloud, config, job, policy, worker),
// but not those that decide whom the machines are for.
package autoscaler
