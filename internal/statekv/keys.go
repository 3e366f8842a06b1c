package statekv

// RootPrefix is the prefix of all keys that robinstack stores.
const RootPrefix = "robin/"

// ClusterPrefix is the prefix of the keys that every controller mirrors.
const ClusterPrefix = RootPrefix + "fleet/"

// Prefixes of the keys that every controller mirrors.
const (
	// SessionPrefix is the prefix of the session keys, by host.
	SessionPrefix = ClusterPrefix + "node/"
	// JobShardPrefix is the prefix of the role keys of job shards, by shard.
	JobShardPrefix = ClusterPrefix + "slot/"
	// MachineShardPrefix is the prefix of the role keys of machine shards, by shard.
	MachineShardPrefix = ClusterPrefix + "shard/"
	// MachinePrefix is the prefix of the machine records, by machine.
	MachinePrefix = ClusterPrefix + "machine/"
)

// Keys that every controller mirrors.
const (
	// LeaderKey is the role key of the leader. Its revision is the leader epoch.
	LeaderKey = ClusterPrefix + "steward"
	// MachineTypesKey holds the cloud's machine types.
	MachineTypesKey = ClusterPrefix + "types"
	// ClusterVersionKey holds the cluster version, which gates the features in use (package
	// rollout).
	ClusterVersionKey = ClusterPrefix + "level"
	// MembershipKey changes whenever a session opens.
	MembershipKey = ClusterPrefix + "joins"
	// MigrationKey holds the progress of the migration of stored values to another schema.
	MigrationKey = ClusterPrefix + "move"
)
