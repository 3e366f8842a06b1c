package statekv

// RootPrefix is the prefix of all keys of this program.
const RootPrefix = "robin/"

// ClusterPrefix is the prefix of the keys that every controller mirrors.
const ClusterPrefix = RootPrefix + "fleet/"

// Prefixes of the keys that every controller mirrors.
const (
	// SessionPrefix is the prefix of the controllers' sessions, by host.
	SessionPrefix = ClusterPrefix + "node/"
	// JobShardPrefix is the prefix of the roles of job shards, by shard.
	JobShardPrefix = ClusterPrefix + "slot/"
	// MachineShardPrefix is the prefix of the roles of machine shards, by shard.
	MachineShardPrefix = ClusterPrefix + "shard/"
	// MachinePrefix is the prefix of the machines' records, by machine.
	MachinePrefix = ClusterPrefix + "machine/"
)

// Keys that every controller mirrors.
const (
	// LeaderKey is the key of the leader's role; its revision is the leader epoch.
	LeaderKey = ClusterPrefix + "steward"
	// MachineTypesKey holds the cloud's machine types.
	MachineTypesKey = ClusterPrefix + "types"
	// ClusterVersionKey says which features the controllers use together (package rollout).
	ClusterVersionKey = ClusterPrefix + "level"
	// MembershipKey changes with every session that opens.
	MembershipKey = ClusterPrefix + "joins"
	// MigrationKey says how far stored values have been migrated to another schema.
	MigrationKey = ClusterPrefix + "move"
)
