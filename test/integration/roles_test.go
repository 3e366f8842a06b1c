package integration

import (
	"fmt"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// Roles whose holder a scenario crashes: the scheduler of a job, the owner of the machine of its
// first running task, the leader, or all controllers.
const (
	schedulerRole = "scheduler"
	ownerRole     = "owner"
	leaderRole    = "leader"
	allRoles      = "all controllers"
)

var roles = []string{schedulerRole, ownerRole, leaderRole, allRoles}

// noRole means that a scenario crashes no controller.
const noRole = "none"

const (
	// forever is the downtime of a controller that does not restart before the end of the scenario.
	forever = -1
	// downtimeBeyondLease is a downtime after which worker leases may have expired.
	downtimeBeyondLease = 40 * time.Second
)

// downtimes are the times between crash and restart: none, a fraction of a second, longer than a
// worker lease, and forever.
var downtimes = []time.Duration{0, 400 * time.Millisecond, downtimeBeyondLease, forever}

// downtimesOf returns the downtimes to test for a role. Not all controllers can be down forever.
func downtimesOf(role string) []time.Duration {
	if role == allRoles {
		return downtimes[:3]
	}
	return downtimes
}

// failover is a crash of the holders of a role and their downtime.
type failover struct {
	role     string
	downtime time.Duration
}

func (f failover) String() string { return fmt.Sprint("crash of ", f.role, ", downtime ", f.downtime) }

// failovers returns the failovers of each role with each of its downtimes.
func failovers(roles []string) (out []failover) {
	for _, role := range roles {
		for _, downtime := range downtimesOf(role) {
			out = append(out, failover{role, downtime})
		}
	}
	return out
}

// crashRole crashes the holders of a role for a job and restarts them after the downtime. restart
// starts the controllers whose downtime is forever.
func (b *testbed) crashRole(f failover, job string) (restart func()) {
	return b.crashFor(b.hostsOf(f.role, job), f.downtime)
}

// hostsOf returns the hosts that hold a role for a job.
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

// schedulerOf returns the host that holds the job shard of a job, or host-0 if there is none.
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

// ownerOf returns the host that owns a machine according to its key, or "".
func (b *testbed) ownerOf(machine string) string {
	for _, kv := range b.state.ListAll(statekv.MachinePrefix + machine) {
		if record := shard.ParseMachineRecord(kv); record != nil && kv.Key == statekv.MachinePrefix+machine {
			return b.roleHolder(statekv.MachineShardPrefix + record.Shard)
		}
	}
	return ""
}

// keyRevision returns the revision of a key, or 0 if the key does not exist.
func (b *testbed) keyRevision(key string) uint64 {
	for _, kv := range b.state.ListAll(key) {
		if kv.Key == key {
			return kv.Rev
		}
	}
	return 0
}

// roleHolder returns the host in the key of a role, or "".
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

// shardOwners lists the machine shards with the revision of their key and their holder.
func (b *testbed) shardOwners() string {
	out := ""
	for _, kv := range b.state.ListAll(statekv.MachineShardPrefix) {
		out += fmt.Sprint(kv.Key, " ", kv.Rev, " ", b.roleHolder(kv.Key), "; ")
	}
	return out
}

// ownsShards reports whether a controller owns machine shards.
func (b *testbed) ownsShards(host string) bool {
	for _, kv := range b.state.ListAll(statekv.MachineShardPrefix) {
		if h, err := statekv.HolderOf(kv); err == nil && h.Host == host {
			return true
		}
	}
	return false
}

// sessionRevisionSum returns the sum of the revisions of all session keys, which changes whenever a
// session begins or ends.
func (b *testbed) sessionRevisionSum() (sum uint64) {
	for _, h := range b.hosts {
		sum += b.keyRevision(statekv.SessionPrefix + h)
	}
	return sum
}

// crashFor crashes controllers and restarts them after the downtime. restart starts the controllers
// whose downtime is forever.
func (b *testbed) crashFor(hosts []string, downtime time.Duration) (restart func()) {
	for _, h := range hosts {
		b.crash(h)
	}
	start := func() {
		for _, h := range hosts {
			b.start(h)
		}
	}
	if downtime == forever {
		return start
	}
	go func() {
		time.Sleep(downtime)
		start()
	}()
	return func() {}
}

// ensureNotLeader makes another controller the leader if host is the leader. A leader that peers
// cannot reach learns of no demand and provisions no machines, so that no job would finish.
func (b *testbed) ensureNotLeader(host string) {
	if b.roleHolder(statekv.LeaderKey) != host {
		return
	}
	b.crash(host)
	b.waitUntil("another controller is the leader", 20*time.Second, func() bool {
		return b.roleHolder(statekv.LeaderKey) != host
	})
	b.start(host)
	time.Sleep(3 * time.Second)
}

// restartRepeatedly crashes and restarts a controller eight times.
func (b *testbed) restartRepeatedly(host string) {
	for range 8 {
		b.crash(host)
		time.Sleep(150 * time.Millisecond)
		b.start(host)
		time.Sleep(900 * time.Millisecond)
	}
}
