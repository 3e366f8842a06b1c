package clusteragent

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// planningFleet is an ownershipView of three controllers, as seen by host-0. The session of host-2
// has ended.
type planningFleet struct {
	t    *testing.T
	view ownershipView
}

func newPlanningFleet(t *testing.T) *planningFleet {
	ended := statekv.Holder{Host: "host-2", Incarnation: 3}
	return &planningFleet{t: t, view: ownershipView{
		self:             statekv.Holder{Host: "host-0", Incarnation: 1},
		alive:            func(h statekv.Holder) bool { return h != ended },
		zones:            zoneRules{&config.Settings{Host: "host-0"}},
		now:              time.Unix(1000, 0),
		hosts:            []string{"host-0", "host-1"},
		machinesPerShard: map[string]int{},
	}}
}

func (f *planningFleet) kv(key string, value any) statekv.KV {
	f.t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		f.t.Fatal(err)
	}
	return statekv.KV{Key: key, Value: raw, Rev: 7}
}

// addShard adds a machine shard owned by the given host, with the given number of machines.
func (f *planningFleet) addShard(id string, host, index, machines int) {
	f.t.Helper()
	holder := statekv.Holder{Host: fmt.Sprintf("host-%d", host), Incarnation: uint64(host + 1)}
	record := shard.Record{Holder: holder, Index: index}
	f.view.shards = append(f.view.shards, f.kv(statekv.MachineShardPrefix+id, record))
	f.view.machinesPerShard[id] = machines
	for k := range machines {
		name := fmt.Sprintf("%s%s.%d", statekv.MachinePrefix, id, k)
		f.view.machines = append(f.view.machines, f.kv(name, shard.MachineRecord{Shard: id, Address: name}))
	}
}

func roleKeys(roles []statekv.Role) []string {
	var keys []string
	for _, r := range roles {
		keys = append(keys, r.Key[len(statekv.MachineShardPrefix):])
	}
	return keys
}

// The plan keeps the shards that are held and acquires those that this controller has to take over.
// A shard to take over that has no machines is listed for removal instead. Shards of live owners
// are included only if they are wanted.
func TestTakeoverPlanFollowsSuccession(t *testing.T) {
	f := newPlanningFleet(t)
	f.addShard("own", 0, 0, 2)
	f.addShard("live", 1, 0, 2)
	f.addShard("unreachable", 1, 1, 2)
	for index := range 2 { // this controller is the successor of one of the two
		f.addShard(fmt.Sprint("ended", index), 2, index, 2)
		f.addShard(fmt.Sprint("empty", index), 2, index, 0)
	}
	ownIndex := 0
	if f.view.zones.successor(&shard.Record{Holder: statekv.Holder{Host: "host-2"}, Index: 0}, f.view.hosts) != "host-0" {
		ownIndex = 1
	}
	wanted := map[string]string{statekv.MachineShardPrefix + "unreachable": "a reason"}
	plan := planTakeover(&f.view, f.view.hosts, wanted)
	if got := slices.Collect(maps.Keys(plan.held)); !slices.Equal(got, []string{"own"}) {
		t.Errorf("shards held: got %v, want own", got)
	}
	if got := roleKeys(plan.acquire); !slices.Equal(got, []string{"unreachable", fmt.Sprint("ended", ownIndex)}) {
		t.Errorf("shards to acquire: got %v, want unreachable and the ended one that this controller succeeds to", got)
	}
	if got := roleKeys(plan.empty); !slices.Equal(got, []string{fmt.Sprint("empty", ownIndex)}) {
		t.Errorf("shards to remove: got %v, want the empty one that this controller succeeds to", got)
	}
	if previousHolder := plan.acquire[0].PreviousHolder; previousHolder != (statekv.Holder{}) {
		t.Errorf("taking a shard from a live owner must not require that the session of %v has ended", previousHolder)
	}
	if previousHolder := plan.acquire[1].PreviousHolder; previousHolder.Host != "host-2" {
		t.Errorf("taking over a shard must require that the session of host-2 has ended, not that of %v", previousHolder)
	}
}

// A shard is taken from a live owner once a quarter of its workers, and at least three, have sent
// repeated heartbeats to this controller, provided that the shard has had this owner for some time.
func TestUnreachableOwnerTriggersShardTakeover(t *testing.T) {
	cases := map[string]struct {
		machines, misdirected    int
		ownedFor, misdirectedFor time.Duration
		taken                    bool
	}{
		"a quarter":              {40, 10, time.Minute, 5 * time.Second, true},
		"less than a quarter":    {40, 9, time.Minute, 5 * time.Second, false},
		"all of a small shard":   {2, 2, time.Minute, 5 * time.Second, false},
		"three of a small shard": {3, 3, time.Minute, 5 * time.Second, true},
		"a new owner":            {40, 40, 9 * time.Second, 5 * time.Second, false},
		"recent heartbeats":      {40, 40, time.Minute, time.Second, true}, // this controller is the successor, so it does not wait
	}
	for name, c := range cases {
		f := newPlanningFleet(t)
		f.addShard("s", 1, 0, c.machines)
		key := f.view.shards[0].Key
		ownershipTimes := shardOwnershipTimes{key: {rev: 7, since: f.view.now.Add(-c.ownedFor)}}
		misdirectedByShard := map[string]misdirectedShard{"s": {workers: c.misdirected, firstHeartbeat: f.view.now.Add(-c.misdirectedFor)}}
		if wanted := planUnreachableTakeover(&f.view, misdirectedByShard, ownershipTimes); (wanted[key] != "") != c.taken {
			t.Errorf("%s: got shards %v", name, wanted)
		}
	}
}

// A controller that owns almost no machines takes shards of the controller that owns the most,
// until it has three quarters of the mean, and only shards that are safe to take.
func TestBalancePlanStopsAtThreeQuartersOfMean(t *testing.T) {
	f := newPlanningFleet(t)
	for k := range 10 {
		f.addShard(fmt.Sprint("s", k), 1, k, 10)
	}
	gap, uneven := findImbalance(&f.view)
	if !uneven || gap.largestOwner != "host-1" || gap.mean != 50 || gap.ownMachines != 0 || gap.largestMachines != 100 {
		t.Fatalf("got %+v, uneven: %v", gap, uneven)
	}
	unsafe := func(machines []statekv.KV) bool { return shard.ParseMachineRecord(machines[0]).Shard == "s1" }
	wanted, machines := planRebalance(&f.view, gap, unsafe)
	if len(wanted) != 4 || len(machines) != 40 {
		t.Errorf("got %d shards with %d machines, want 4 with 40", len(wanted), len(machines))
	}
	if _, taken := wanted[statekv.MachineShardPrefix+"s1"]; taken {
		t.Error("the plan takes a shard that is not safe to take")
	}
	f.addShard("own", 0, 0, 20)
	if gap, uneven := findImbalance(&f.view); uneven {
		t.Errorf("with a third of the mean: got imbalance %+v, want none", gap)
	}
}
