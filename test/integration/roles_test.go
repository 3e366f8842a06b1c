package integration

import (
	"fmt"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// Roles that a scenario may have fail: a job's scheduler, the owner of the machine that its
// first task is on, the leader, or all controllers.
const (
	schedulerRole = "scheduler"
	ownerRole     = "owner"
	leaderRole    = "leader"
	allRoles      = "all"
)

var roles = []string{schedulerRole, ownerRole, leaderRole, allRoles}

// nobody is for scenarios in which no role fails.
const nobody = "nobody"

const (
	// never is for one that does not come back before the scenario is over.
	never = -1
	// downtimeBeyondLease is the downtime after which leases may have expired.
	downtimeBeyondLease = 40 * time.Second
)

// downtimes are after what time controllers are back: at once, after a fraction of a second,
// after more than a worker's lease, never.
var downtimes = []time.Duration{0, 400 * time.Millisecond, downtimeBeyondLease, never}

// downtimesOf are those that a scenario tries for a role: somebody has to come back when all
// have ended.
func downtimesOf(role string) []time.Duration {
	if role == allRoles {
		return downtimes[:3]
	}
	return downtimes
}

// failover is the failure of a role, and how long those who have it are down.
type failover struct {
	role     string
	downtime time.Duration
}

func (f failover) String() string { return fmt.Sprint("the ", f.role, " is back after ", f.downtime) }

// failovers lists the failures of roles with all downtimes of each.
func failovers(roles []string) (out []failover) {
	for _, role := range roles {
		for _, downtime := range downtimesOf(role) {
			out = append(out, failover{role, downtime})
		}
	}
	return out
}

// fail has the hosts that have the role for a job end, and begin again after the downtime.
// What it returns brings back those that never would.
func (b *testbed) fail(f failover, job string) (restart func()) {
	return b.stopFor(b.hostsOf(f.role, job), f.downtime)
}

// hostsOf lists the hosts that have a role for a job.
func (b *testbed) hostsOf(role, id string) []string {
	switch role {
	case schedulerRole:
		return []string{b.schedulerOf(id)}
	case ownerRole:
		return []string{b.ownerOf(b.history.MachineOfFirstTask(id))}
	case leaderRole:
		return []string{b.roleHolder(statekv.LeaderKey)}
	}
	return b.hosts
}

// schedulerOf is the host that has a job's shard, or one that is up.
func (b *testbed) schedulerOf(id string) string {
	for _, kv := range b.state.ListAll(job.RecordKey(id)) {
		if record, err := job.ParseRecord(kv.Value); err == nil && kv.Key == job.RecordKey(id) {
			if h := b.roleHolder(statekv.JobShardPrefix + record.JobShard); h != "" {
				return h
			}
		}
	}
	return "host-0"
}

// ownerOf is the host that owns a machine by its key, or "".
func (b *testbed) ownerOf(machine string) string {
	for _, kv := range b.state.ListAll(statekv.MachinePrefix + machine) {
		if record := shard.ParseMachineRecord(kv); record != nil && kv.Key == statekv.MachinePrefix+machine {
			return b.roleHolder(statekv.MachineShardPrefix + record.Shard)
		}
	}
	return ""
}

// keyRevision is the revision of a key, or 0 if it does not exist.
func (b *testbed) keyRevision(key string) uint64 {
	for _, kv := range b.state.ListAll(key) {
		if kv.Key == key {
			return kv.Rev
		}
	}
	return 0
}

// roleHolder is the host that a role's key names, or "".
func (b *testbed) roleHolder(key string) string {
	for _, kv := range b.state.ListAll(key) {
		if kv.Key != key {
			continue
		}
		if h, err := statekv.HolderOf(kv); err == nil {
			return h.Host
		}
	}
	return ""
}

// shardOwners are the machine shards' holders, with the revisions of their keys.
func (b *testbed) shardOwners() string {
	out := ""
	for _, kv := range b.state.ListAll(statekv.MachineShardPrefix) {
		out += fmt.Sprint(kv.Key, " ", kv.Rev, " ", b.roleHolder(kv.Key), "; ")
	}
	return out
}

// ownsShards reports whether a controller has machine shards.
func (b *testbed) ownsShards(host string) bool {
	for _, kv := range b.state.ListAll(statekv.MachineShardPrefix) {
		if h, err := statekv.HolderOf(kv); err == nil && h.Host == host {
			return true
		}
	}
	return false
}

// sessionRevisions tells how often controllers' sessions have begun: it changes with each.
func (b *testbed) sessionRevisions() (sum uint64) {
	for _, h := range b.hosts {
		sum += b.keyRevision(statekv.SessionPrefix + h)
	}
	return sum
}

// stopFor has controllers end, and each begin again so much later. What it returns brings
// back those that never would.
func (b *testbed) stopFor(hosts []string, downtime time.Duration) (restart func()) {
	for _, h := range hosts {
		b.crash(h)
	}
	start := func() {
		for _, h := range hosts {
			b.start(h)
		}
	}
	if downtime == never {
		return start
	}
	go func() {
		time.Sleep(downtime)
		start()
	}()
	return func() {}
}

// ensureNotLeader sees to it that a controller is not the leader: one that peers do not
// reach learns of no demand and rents no machines, so that nothing would end.
func (b *testbed) ensureNotLeader(host string) {
	if b.roleHolder(statekv.LeaderKey) != host {
		return
	}
	b.crash(host)
	b.waitUntil("another is leader", 20*time.Second, func() bool { return b.roleHolder(statekv.LeaderKey) != host })
	b.start(host)
	time.Sleep(3 * time.Second)
}

// restartRepeatedly has a controller end and begin a session again, for a while.
func (b *testbed) restartRepeatedly(host string) {
	for range 8 {
		b.crash(host)
		time.Sleep(150 * time.Millisecond)
		b.start(host)
		time.Sleep(900 * time.Millisecond)
	}
}
