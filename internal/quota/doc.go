// Package quota decides which tasks teams may start under their quotas. It contains the net/rpc
// messages by which schedulers request grants, the ledger of the resources that teams hold, the
// reservations of quota for waiting jobs, and the decision based on a snapshot of these.
//
// Ledger and Reservations belong to the elected leader, whose mutex guards them. Nothing in this
// package locks, blocks, logs or reads a clock.
//
// The package may import the messages and types of other packages (agentapi, job, worker, config),
// but nothing that does I/O.
package quota
