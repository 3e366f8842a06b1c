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

// planningFleet is a view of three controllers, of which host-2's session has ended. self is host-0.
type planningFleet struct {
	t    *testing.T
	view fleetView
}

func newPlanningFleet(t *testing.T) *planningFleet {
	ended := statekv.Holder{Host: "host-2", Incarnation: 3}
	return &planningFleet{t: t, view: fleetView{
		self:  statekv.Holder{Host: "host-0", Incarnation: 1},
		alive: func(h statekv.Holder) bool { return h != ended },
		zones: zoneRules{&config.Settings{Host: "host-0"}},
		now:   time.Unix(1000, 0),
		hosts: []string{"host-0", "host-1"},
		sizes: map[string]int{},
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

// addShard adds a shard of a controller with that many machines.
func (f *planningFleet) addShard(id string, host, index, machines int) {
	f.t.Helper()
	holder := statekv.Holder{Host: fmt.Sprintf("host-%d", host), Incarnation: uint64(host + 1)}
	record := shard.Record{Holder: holder, Index: index}
	f.view.shards = append(f.view.shards, f.kv(statekv.MachineShardPrefix+id, record))
	f.view.sizes[id] = machines
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

// What is held stays, what falls to this controller is taken, a shard without machines is
// removed instead, and those of living owners only where they are wanted.
func TestTakeoverPlanFollowsSuccession(t *testing.T) {
	f := newPlanningFleet(t)
	f.addShard("own", 0, 0, 2)
	f.addShard("living", 1, 0, 2)
	f.addShard("unreachable", 1, 1, 2)
	for index := range 2 { // one of them falls to this controller, whichever it is
		f.addShard(fmt.Sprint("ended", index), 2, index, 2)
		f.addShard(fmt.Sprint("empty", index), 2, index, 0)
	}
	mine := 0
	if f.view.zones.successor(&shard.Record{Holder: statekv.Holder{Host: "host-2"}, Index: 0}, f.view.hosts) != "host-0" {
		mine = 1
	}
	wanted := map[string]string{statekv.MachineShardPrefix + "unreachable": "a reason"}
	plan := planTakeover(&f.view, f.view.hosts, wanted)
	if got := slices.Collect(maps.Keys(plan.held)); !slices.Equal(got, []string{"own"}) {
		t.Errorf("held: %v", got)
	}
	if got := roleKeys(plan.take); !slices.Equal(got, []string{"unreachable", fmt.Sprint("ended", mine)}) {
		t.Errorf("to take: %v", got)
	}
	if got := roleKeys(plan.empty); !slices.Equal(got, []string{fmt.Sprint("empty", mine)}) {
		t.Errorf("to remove: %v", got)
	}
	if from := plan.take[0].PreviousHolder; from != (statekv.Holder{}) {
		t.Errorf("a shard that is wanted from a living owner is taken only once %v has ended", from)
	}
	if from := plan.take[1].PreviousHolder; from.Host != "host-2" {
		t.Errorf("a shard is taken although the session of %v need not have ended", from)
	}
}

// A shard is taken from a living owner once a quarter of its workers, and three at least, have
// come again, and it has had that owner for a while.
func TestStrayWorkersMoveTheirShard(t *testing.T) {
	cases := map[string]struct {
		machines, strays   int
		ownedFor, straying time.Duration
		taken              bool
	}{
		"a quarter":            {40, 10, time.Minute, 5 * time.Second, true},
		"less than a quarter":  {40, 9, time.Minute, 5 * time.Second, false},
		"all of a small one":   {2, 2, time.Minute, 5 * time.Second, false},
		"three of a small one": {3, 3, time.Minute, 5 * time.Second, true},
		"a new owner":          {40, 40, 9 * time.Second, 5 * time.Second, false},
		"only just":            {40, 40, time.Minute, time.Second, true}, // this controller is next in line
	}
	for name, c := range cases {
		f := newPlanningFleet(t)
		f.addShard("s", 1, 0, c.machines)
		key := f.view.shards[0].Key
		sightings := shardSightings{key: {rev: 7, since: f.view.now.Add(-c.ownedFor)}}
		strays := map[string]strayShard{"s": {workers: c.strays, first: f.view.now.Add(-c.straying)}}
		if wanted := planStrayTakeover(&f.view, strays, sightings); (wanted[key] != "") != c.taken {
			t.Errorf("%s: %v", name, wanted)
		}
	}
}

// A controller that owns next to nothing takes shards of the one that owns most, until it has
// three quarters of its part, and none that is not safe to take.
func TestBalancePlanStopsNearTheMean(t *testing.T) {
	f := newPlanningFleet(t)
	for k := range 10 {
		f.addShard(fmt.Sprint("s", k), 1, k, 10)
	}
	gap, uneven := findImbalance(&f.view)
	if !uneven || gap.richest != "host-1" || gap.mean != 50 || gap.mine != 0 || gap.theirs != 100 {
		t.Fatalf("%+v, uneven: %v", gap, uneven)
	}
	unsafe := func(machines []statekv.KV) bool { return shard.ParseMachineRecord(machines[0]).Shard == "s1" }
	wanted, machines := planBalance(&f.view, gap, unsafe)
	if len(wanted) != 4 || len(machines) != 40 {
		t.Errorf("%d shards with %d machines", len(wanted), len(machines))
	}
	if _, taken := wanted[statekv.MachineShardPrefix+"s1"]; taken {
		t.Error("a shard was taken that is not safe to take")
	}
	f.addShard("own", 0, 0, 20)
	if gap, uneven := findImbalance(&f.view); uneven {
		t.Errorf("with a third of its part: %+v", gap)
	}
}
