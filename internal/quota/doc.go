// Package quota decides what the teams may start under their quotas. It holds the net/rpc
// messages by which schedulers ask for grants, the ledger of what the teams hold, the
// reservations of jobs that wait below a quota, and the decision over a snapshot of these.
//
// Ledger and Reservations are state of whoever creates them, the elected leader, and are
// guarded by its mutex: nothing here locks, blocks, logs or reads a clock.
//
// It may import the messages and types of other packages (agentapi, job, worker, config),
// but nothing that does I/O.
package quota
