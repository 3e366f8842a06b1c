// Package rollout coordinates rolling upgrades of the controllers: it decides which features the
// cluster uses while controllers of one build are replaced one by one by controllers of another
// build.
//
// The session of each controller registers the capabilities of its build: the features that it
// knows, and the schemas of stored values that it reads and writes. The cluster version is the set
// of enabled features; its number is their count. It is stored under one key of the state service,
// which changes only by compare-and-swap. The version is raised when every live controller supports
// the next feature, all controllers have been up for the soak time, and no session has begun
// meanwhile. A session begins only under a version that it has read and supports. So at every
// moment each live controller supports all enabled features, and a controller whose session has
// ended writes nothing.
//
// State: the package owns the keys of the cluster version, of the membership and of the migration
// of stored values, and no others. All state in memory belongs to one session of one controller.
// VersionGate and VersionReader each guard their state with a mutex that is never held during I/O;
// a Migrator is used by one goroutine.
//
// The decisions (plan.go, command_plan.go) are pure functions of a Snapshot. VersionGate carries
// them out, and Migrator migrates stored values.
//
// The package may import job, tombstone, shard, policy and statekv. Nothing here depends on the
// packages that use it: scheduler, gateway and controller.
package rollout
