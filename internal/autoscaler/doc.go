// Package autoscaler plans the size of the cluster: which machines to request, which idle machines
// to return and which lost machines to delete. It packs the demand into the machines that exist and
// into those that the cloud offers. It counts on provisioning machines, but replaces overdue ones
// unless their pool is stalled, which means that many of its machines are overdue. It keeps warm
// capacity for gangs, and idle machines that are likely to get tasks soon.
//
// Fleet holds the machine state that the leader of one epoch knows, DemandReports the demand of the
// controllers' jobs. Both are guarded by the mutex of their owner, package leader. Planning reads a
// Snapshot; neither type locks, blocks, logs or reads a clock. ScaleOut and ScaleIn, the calls to
// the cloud, keep no state.
//
// The package may import packages for their types (agentapi, cloud, config, job, policy, worker),
// but not the packages that place jobs on machines.
package autoscaler
