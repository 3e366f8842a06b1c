package leader

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/agentapi"
	"robinstack/internal/autoscaler"
	"robinstack/internal/changefeed"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/policy"
	"robinstack/internal/quota"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

func settings() *config.Settings {
	return &config.Settings{Host: "host-0", CloudListLag: 4 * time.Second,
		Teams:       map[string]config.Team{"t": {Name: "t", GPUQuota: 10}},
		Workers:     config.WorkerTiming{HeartbeatInterval: 3 * time.Second, LeaseDuration: 30 * time.Second, CancellationDeadline: 60 * time.Second},
		StateLimits: config.StateLimits{RequestsPerSecond: 100, WritesPerSecond: 50, MaxValueBytes: 8192, MaxTxnOps: 24}}
}

func newSteward(t testing.TB, ctx context.Context) (*Leader, *emulator.StateService) {
	t.Helper()
	state := emulator.NewStateService()
	machine := shard.MachineRecord{Shard: "host-9.1.0", Type: "box", Zone: "a"}
	if _, err := state.Txn(ctx, nil, []statekv.Op{{Set: statekv.MachinePrefix + "m1", Value: machine}}); err != nil {
		t.Fatal(err)
	}
	mirror := statekv.NewMirror(state, []string{statekv.ClusterPrefix, job.RecordPrefix}, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
	if err := mirror.Load(ctx); err != nil {
		t.Fatal(err)
	}
	member, err := statekv.OpenSession(ctx, state, mirror, "host-0", 4*time.Second, statekv.Registration{})
	if err != nil {
		t.Fatal(err)
	}
	types := &cloud.Catalogue{}
	types.Set([]cloud.MachineType{{Name: "box", CPUs: 64, GPUs: 8, MemoryGB: 512, OnDemandPrice: 10, SpotPrice: 4, ProvisioningS: 30, Zones: []string{"a"}}})
	s := New(settings(), policy.Default(), mirror, member, nil, nil, types)
	s.feed = changefeed.New(nil, mirror, nil, nil, nil)
	s.epoch, s.confirmed = 99, map[string]bool{}
	return s, state
}

func ask(t *testing.T, s *Leader, index, gpus int, release ...agentapi.TaskRef) bool {
	t.Helper()
	var reply quota.Reply
	want := quota.GrantRequest{Ref: agentapi.TaskRef{Job: "wk-1", Index: index, Attempt: 1}, Team: "t", Need: job.Need{GPUs: float64(gpus)}}
	if err := NewService(s).Permit(quota.Request{Slot: "s", Epoch: 1, Wants: []quota.GrantRequest{want}, Release: release}, &reply); err != nil {
		t.Fatal(err)
	}
	return reply.Granted[0]
}

// Guards against quota: what is permitted, what runs and what may run on
// machines that have not been checked counts together against the limit, and a
// new steward goes on permitting beside a machine that stays silent.
func TestLimitCountsWhatMayRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSteward(t, t.Context())
		if ask(t, s, 0, 3) {
			t.Fatal("an unchecked machine may hold 8 of the 10")
		}
		if !ask(t, s, 0, 2) || ask(t, s, 1, 1) {
			t.Fatal("2 fit beside it and no more")
		}
		s.confirmed["m1"] = true
		if !ask(t, s, 1, 8) || ask(t, s, 2, 1) {
			t.Fatal("permits count until they show up or are given back")
		}
		if !ask(t, s, 2, 1, agentapi.TaskRef{Job: "wk-1", Index: 0, Attempt: 1}) {
			t.Fatal("given back, not used")
		}
	})
}

// A task keeps counting while a new owner has not confirmed its machine.
func TestUnsettledMachineKeepsCounting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSteward(t, t.Context())
		s.reconciled = true
		task := agentapi.TaskEntry{TaskRef: agentapi.TaskRef{Job: "wk-2", Attempt: 1}, Team: "t", Need: job.Need{GPUs: 8}, Known: true, State: worker.TaskRunning}
		s.OnEntries([]agentapi.MachineEntry{{Machine: "m1", Settled: true, Tasks: []agentapi.TaskEntry{task}}})
		s.OnEntries([]agentapi.MachineEntry{{Machine: "m1", Settled: false}})
		if ask(t, s, 0, 3) {
			t.Fatal("the task may still run")
		}
		s.OnEntries([]agentapi.MachineEntry{{Machine: "m1", Settled: true}})
		if !ask(t, s, 0, 3) {
			t.Fatal("the task is proven gone")
		}
	})
}

// A new steward has seen no list before; a silent machine that no list shows
// for longer than lists may lag is lost. Waiting out its lease stalled the
// slots of a crashed controller for fifty seconds.
func TestNewStewardSeesThatASilentMachineIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSteward(t, t.Context())
		e := agentapi.MachineEntry{Machine: "m1", Silent: true, Settled: true}
		s.onList(nil, time.Now())
		if why := s.isLost(&e, time.Now()); why != "" {
			t.Fatalf("at once: %s", why)
		}
		time.Sleep(11 * time.Second)
		s.onList(nil, time.Now())
		if s.isLost(&e, time.Now()) == "" {
			t.Fatal("still waited for")
		}
		e.Machine = "m2"
		s.onList([]cloud.Machine{{Name: "m3", Type: "box", Status: "running"}}, time.Now())
		if s.isLost(&e, time.Now()) == "" {
			t.Fatal("a list that shows a younger machine would show this one")
		}
	})
}

// A dead machine of a crashed owner held up every job of that controller until
// its lease had run out: it is deleted, unless so many do not answer that it is
// rather their new owner that is cut off.
func TestMachinesThatDoNotAnswerTheirNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSteward(t, t.Context())
		s.reconciled = true
		var entries []agentapi.MachineEntry
		for i := range 100 {
			entries = append(entries, agentapi.MachineEntry{Machine: fmt.Sprint("m", i), Rev: 1, Ver: 1, Type: "box", Settled: i >= 3, Silent: i < 3})
		}
		s.OnEntries(entries)
		s.fleet.mute = 2
		if s.isLost(&entries[0], time.Now()) == "" || s.isLost(&entries[9], time.Now()) != "" {
			t.Fatal("two of a hundred that do not answer are given up at once")
		}
		s.fleet.mute = 3
		if why := s.isLost(&entries[0], time.Now()); why != "" {
			t.Fatalf("three of a hundred, at once: %s", why)
		}
		time.Sleep(4 * time.Second)
		if s.isLost(&entries[0], time.Now()) == "" {
			t.Fatal("three of a hundred are given up after some seconds")
		}
		s.fleet.mute = 30
		if why := s.isLost(&entries[0], time.Now()); why != "" {
			t.Fatalf("thirty of a hundred: %s", why)
		}
	})
}

func TestPackingRentsWhatIsCheapestPerTask(t *testing.T) {
	types := map[string]cloud.MachineType{
		"small": {Name: "small", CPUs: 24, GPUs: 4, MemoryGB: 96, OnDemandPrice: 13, SpotPrice: 5, Zones: []string{"a"}},
		"big":   {Name: "big", CPUs: 64, GPUs: 8, MemoryGB: 512, OnDemandPrice: 25, SpotPrice: 10, Zones: []string{"a"}},
	}
	d := []autoscaler.Demand{{Spec: job.Spec{Need: job.Need{CPUs: 6, GPUs: 1, MemoryGB: 48}, Spot: true, Rank: "normal"}, Waiting: 10}}
	bins := []*bin{{name: "m1", typeName: "small", zone: "a", free: job.Need{CPUs: 24, GPUs: 4, MemoryGB: 96}}}
	rent, _ := packing(d, bins, turnover{}, offers(types, func(pool) int { return 100 }), 20)
	if len(rent) != 1 || rent[pool{"big", "a", true}] != 1 || !bins[0].used {
		t.Fatalf("two on the machine there, eight on one big spot machine: %v", rent)
	}
	d[0].Spec.Spot = false
	rent, _ = packing(d, nil, turnover{}, offers(types, func(pool) int { return 100 }), 20)
	if rent[pool{"big", "a", false}] != 2 {
		t.Fatalf("no spot machine for a job that forbids it: %v", rent)
	}
	// What only fits badly on the machines left is rented while the queue grows.
	d[0].Spec.Spot = true
	onlySmall := func(p pool) int {
		if p.typeName == "small" && !p.spot {
			return 100
		}
		return 0
	}
	bad := turnover{}
	for _, bad.growing = range []bool{false, true} {
		rent, _ = packing(d, nil, bad, offers(types, onlySmall), 20)
		if n := rent[pool{"small", "a", false}]; (n > 0) != bad.growing {
			t.Fatalf("growing %v: %d dear machines", bad.growing, n)
		}
	}
	// Twenty that run leave places in time for most of forty with a deadline in
	// three minutes: machines were rented for all of them, to idle soon after.
	d[0] = autoscaler.Demand{Spec: job.Spec{Shape: job.Array, Need: d[0].Spec.Need, Spot: true, Rank: "normal", EstimateS: 50, DeadlineS: new(float64)}, Waiting: 40, Running: 20}
	*d[0].Spec.DeadlineS = 180
	turn := turnover{boot: 40}
	turn.add(&d[0])
	if rent, over := packing(d, nil, turn, offers(types, func(pool) int { return 100 }), 20); rent[pool{"big", "a", true}] != 1 || over != 40 {
		t.Fatalf("one machine for the rest: %v of %v", rent, over)
	}
	// Work of the lowest priority is to fill what is spare: nothing dear is rented
	// for it, however long it waits.
	guest := autoscaler.Demand{Spec: job.Spec{Need: d[0].Spec.Need, Spot: true, Rank: "best_effort"}, Waiting: 10, AgeS: 1000}
	noSpot := func(p pool) int {
		if p.spot {
			return 0
		}
		return 100
	}
	if rent, _ := packing([]autoscaler.Demand{guest}, nil, turnover{}, offers(types, noSpot), 20); len(rent) != 0 {
		t.Fatalf("%v rented for guests", rent)
	}
	// In a burst later jobs need what comes free later: waiting for that had
	// machines come up only when the burst was nearly over.
	turn.growing = true
	if rent, _ := packing(d, nil, turn, offers(types, func(pool) int { return 100 }), 20); rent[pool{"big", "a", true}] != 4 {
		t.Fatalf("four machines while the queue grows: %v", rent)
	}
}

// Pools that had nothing left were asked for all that was needed again and
// again, and dearer ones that had some were not reached: a refusal passes the
// demand on, and the pool is asked for little until it fills a request.
func TestEmptyPoolsPassTheDemandOn(t *testing.T) {
	f := newFleet()
	now := time.Now()
	p := pool{"big", "a", true}
	if n := f.poolLimit(p, now); n < 50 {
		t.Fatalf("%d before any refusal", n)
	}
	f.refuse(p, now)
	if n := f.poolLimit(p, now); n != 0 {
		t.Fatalf("%d just after a refusal", n)
	}
	now = now.Add(11 * time.Second)
	types := map[string]cloud.MachineType{"big": {Name: "big", GPUs: 8, OnDemandPrice: 25, SpotPrice: 10, Zones: []string{"a"}}}
	d := []autoscaler.Demand{{Spec: job.Spec{Rank: "normal", Need: job.Need{GPUs: 8}, Spot: true}, Waiting: 10}}
	rent, _ := packing(d, nil, turnover{}, offers(types, func(p pool) int { return f.poolLimit(p, now) }), 100)
	if rent[p] != probe || rent[pool{"big", "a", false}] != 10-probe {
		t.Fatalf("%v", rent)
	}
}

// Room is kept ready for classes of gangs seen lately, and not for ever.
func TestRoomIsKeptReadyForGangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSteward(t, t.Context())
		s.reconciled = true
		s.policy.WarmTasksPerGangClass = 1
		spec := job.Spec{ID: "wk-1", Class: "train", Team: "t", Shape: job.Gang, Rank: "high", Tasks: 1, Need: job.Need{GPUs: 8}}
		demand := func(jobs ...autoscaler.Demand) int {
			if err := NewService(s).Demand(autoscaler.DemandRequest{Host: "host-0", Jobs: jobs}, &struct{}{}); err != nil {
				t.Fatal(err)
			}
			rentals, _, _ := s.planFleet(time.Now())
			n := 0
			for _, r := range rentals {
				n += r.Count
			}
			return n
		}
		if n := demand(autoscaler.Demand{Spec: spec, Running: 1}); n != 1 {
			t.Fatalf("one runs, one is expected: rented %d", n)
		}
		if n := demand(autoscaler.Demand{Spec: spec, Waiting: 1}); n != 2 {
			t.Fatalf("one waits, one is expected: rented %d", n)
		}
		time.Sleep(warmFor + time.Second)
		if n := demand(); n != 0 {
			t.Fatalf("none for two minutes: rented %d", n)
		}
	})
}

// In a large fleet no machine is idle for long, but many are at any moment: as
// many as were idle all the time are returned, and not one more.
func TestWhatIsIdleAllTheTimeIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSteward(t, t.Context())
		s.policy.ScaleInIdleTime = 10 * time.Second
		p := pool{"box", "a", false}
		returned := 0
		for second := range 30 {
			var bins []*bin
			idle := map[string]time.Duration{}
			for i := range 10 - returned {
				b := &bin{name: fmt.Sprint("m", i), typeName: p.typeName, zone: p.zone}
				bins = append(bins, b)
				// Every second another six of ten are idle; later four.
				if (i+second)%10 < 6-returned || second > 20 && i < 2 {
					idle[b.name] = time.Second
				}
			}
			returned += len(s.spare(bins, idle, time.Now()))
			time.Sleep(time.Second)
		}
		if returned < 4 || returned > 6 {
			t.Fatalf("returned %d of the six that are always idle", returned)
		}
	})
}

// A machine that was deleted has its key again, by a late claim, and its owner shows it as
// draining, which is what it took over: that owner is told, and told again until the key is
// gone. It was not for ten minutes.
func TestOwnerOfADeletedMachineIsToldAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSteward(t, t.Context())
		now := time.Now()
		s.fleet.deleted["m1"] = now
		for _, step := range []struct {
			after time.Duration
			told  bool
		}{{time.Second, false}, {2500 * time.Millisecond, true}, {3500 * time.Millisecond, false}, {5 * time.Second, true}} {
			if told := s.fleet.mayNotKnow("m1", now.Add(step.after)); told != step.told {
				t.Errorf("after %v: told %v", step.after, told)
			}
		}
	})
}

// What is left of a job that must be in one zone is put and rented for in the zone where its
// running tasks hold it, although another has a free machine and cheaper ones.
func TestJobHeldInAZoneRentsThere(t *testing.T) {
	types := map[string]cloud.MachineType{"box": {Name: "box", CPUs: 16, GPUs: 2, MemoryGB: 64, OnDemandPrice: 10, Zones: []string{"a", "b"}}}
	elsewhere := &bin{name: "m1", typeName: "box", zone: "a", free: job.Need{CPUs: 16, GPUs: 2, MemoryGB: 64}}
	spec := job.Spec{Shape: job.Array, OneZone: true, Rank: "normal", Need: job.Need{CPUs: 1, GPUs: 1, MemoryGB: 1}}
	rent, _ := packing([]autoscaler.Demand{{Spec: spec, Waiting: 2, Running: 1, Zone: "b"}}, []*bin{elsewhere}, turnover{}, offers(types, func(pool) int { return 10 }), 10)
	if want := (pool{"box", "b", false}); len(rent) != 1 || rent[want] != 1 || elsewhere.used {
		t.Errorf("rented %v, a machine of the other zone is used: %v", rent, elsewhere.used)
	}
}
