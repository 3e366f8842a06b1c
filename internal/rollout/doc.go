// Package rollout coordinates a rolling upgrade of the controllers: it decides which
// features the cluster uses while controllers of one build are replaced, one after the
// other, by those of another build.
//
// Each session of a controller registers the capabilities of its build: the features that
// it knows, and the schemas of stored values that it reads and writes. The cluster has one
// version: the set of features that are enabled, numbered by how many those are. The
// version is stored under one key of the state service, which changes only by
// compare-and-swap. It is raised when every live controller has what the next feature
// requires and has been up for the soak time, and no session began meanwhile; a session
// begins only under a version that it has read and supports. So at every moment each live
// controller supports all enabled features, and one whose session has ended writes
// nothing.
//
// State: the package owns the keys of the cluster version, of the membership counter and
// of the migration of stored values, and nothing else. Everything in memory belongs to one
// session of one controller. VersionGate and VersionReader guard what they keep with a
// mutex of their own, which is never held over I/O; a Migrator is used by one goroutine.
//
// The decisions (plan.go, command_plan.go) are pure functions of a Snapshot. VersionGate
// carries them out, and Migrator migrates stored values.
//
// The package may import job, tombstone, shard, policy and statekv. Nothing here depends
// on the packages that use it: scheduler, gateway and controller.
package rollout
