package rollout_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/policy"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

const soak = 30 * time.Second

// fleet is a fleet of controllers as far as roll-outs go.
type fleet struct {
	t     *testing.T
	ctx   context.Context
	state *emulator.StateService
	lives map[string]*life
	pace  float64 // changes a second of a move

	learned atomic.Int64
}

type life struct {
	gate   *rollout.VersionGate
	mirror *statekv.Mirror
	member *statekv.Session
	ended  chan error
	stop   context.CancelFunc
}

var hosts = []string{"host-0", "host-1", "host-2"}

// former begins a life as controllers of form 0 do: without looking, with an empty key.
func (f *fleet) former(host string) {
	f.t.Helper()
	f.end(host)
	f.write(statekv.Op{Set: statekv.SessionPrefix + host, Value: struct{}{}})
}

// start begins a life of this build; the steward is host-0's if steward is set.
func (f *fleet) start(host string, steward bool) error {
	f.end(host)
	ctx, stop := context.WithCancel(f.ctx)
	mirror := statekv.NewMirror(f.state, []string{statekv.ClusterPrefix, job.RecordPrefix}, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
	if err := mirror.Load(ctx); err != nil {
		f.t.Fatal(err)
	}
	reg, err := rollout.NewRegistration(mirror, rollout.LocalCapabilities())
	if err != nil {
		stop()
		return err
	}
	member, err := statekv.OpenSession(ctx, f.state, mirror, host, 4*time.Second, reg)
	if err != nil {
		stop()
		return err
	}
	l := &life{mirror: mirror, member: member, stop: stop, ended: make(chan error, 1)}
	epoch := uint64(0)
	if steward {
		if epoch, err = member.Write(ctx, nil, []statekv.Op{{Set: statekv.LeaderKey, Value: member.Holder}}); err != nil {
			f.t.Fatal(err)
		}
	}
	isSteward := func() uint64 {
		if kv, _ := mirror.Get(statekv.LeaderKey); kv.Rev == epoch {
			return epoch
		}
		return 0
	}
	pol := policy.Default()
	pol.RolloutSoak = soak
	l.gate = rollout.NewVersionGate(hosts, pol, mirror, member, f.state, isSteward)
	mover := rollout.NewMigrator(learning{f.state, &f.learned}, mirror, member, isSteward, 24, f.pace)
	go mirror.Run(ctx)
	go func() { l.ended <- member.KeepAlive(ctx) }()
	go l.gate.Run(ctx)
	go mover.Run(ctx)
	f.lives[host] = l
	return nil
}

// end ends a life, its lease included.
func (f *fleet) end(host string) {
	if l := f.lives[host]; l != nil {
		l.stop()
		delete(f.lives, host)
	}
	f.write(statekv.Op{Delete: statekv.SessionPrefix + host})
}

// lower has the state service take no more than so many changes from now on, and the
// movers' clients learn that from the first refusal.
func (f *fleet) lower(ops int) {
	f.learned.Store(int64(ops))
	f.state.SetSizeLimits(2048, ops)
}

// learning is the state service as a client sees it that learns how many changes it takes.
type learning struct {
	*emulator.StateService
	most *atomic.Int64
}

func (l learning) MaxTxnOps(ops int) int {
	if most := int(l.most.Load()); most > 0 {
		return min(most, ops)
	}
	return ops
}

func (f *fleet) write(ops ...statekv.Op) {
	f.t.Helper()
	if _, err := f.state.Txn(f.ctx, nil, ops); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) level() int {
	kv, err := f.state.Get(f.ctx, statekv.ClusterVersionKey)
	if err != nil {
		return 0
	}
	l, err := rollout.ParseClusterVersion(kv.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	return l.Number
}

func (f *fleet) is(level int, when string) {
	f.t.Helper()
	if n := f.level(); n != level {
		f.t.Fatalf("%s: level %d and not %d", when, n, level)
	}
}

// waits asserts what the roll-out waits for, as host's status says.
func (f *fleet) waits(host, for_ string) {
	f.t.Helper()
	l := f.lives[host]
	if s := l.gate.Status(); !strings.Contains(s.RaiseBlockedBy, for_) {
		f.t.Errorf("the status says %q and not %q", s.RaiseBlockedBy, for_)
	}
}

func story(t *testing.T, tell func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		tell(&fleet{t: t, ctx: ctx, state: emulator.NewStateService(), lives: map[string]*life{}, pace: 8})
	})
}

func (f *fleet) startAll() {
	f.t.Helper()
	for k, host := range hosts {
		if err := f.start(host, k == 0); err != nil {
			f.t.Fatal(err)
		}
	}
}

// The level rises within the soak plus 5 s of the last new life, one at a time, up to
// the one that closes the way back.
func TestLevelRises(t *testing.T) {
	story(t, func(f *fleet) {
		f.startAll()
		time.Sleep(5 * time.Second)
		f.is(2, "at once, with what users wait for")
		for n := 3; n <= 4; n++ {
			time.Sleep(soak - 6*time.Second)
			f.is(n-1, "before the soak")
			time.Sleep(7 * time.Second)
			f.is(n, "after the soak")
		}
		time.Sleep(10 * soak)
		f.is(4, "without a person")
		f.waits("host-0", "waits for a person")
	})
}

// Old, new, old again on one host in the midst of a roll: the level waits for it, and
// after the rise the old one is refused; its writes are not applied, and the others
// serve on.
func TestOldNewOldAgain(t *testing.T) {
	story(t, func(f *fleet) {
		f.former("host-2")
		if f.start("host-0", true) != nil || f.start("host-1", false) != nil {
			t.Fatal("joins")
		}
		time.Sleep(3 * soak)
		f.is(0, "with a former one")
		f.waits("host-0", `host-2 (build form 0) lacks feature "gated"`)
		if err := f.start("host-2", false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		f.former("host-2")
		time.Sleep(3 * soak)
		f.is(0, "with the former one again")
		if err := f.start("host-2", false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		f.is(2, "with all of them new")

		f.former("host-2")
		kv, _ := f.state.Get(f.ctx, statekv.SessionPrefix+"host-2")
		own := []statekv.Compare{{Key: statekv.SessionPrefix + "host-2", Rev: kv.Rev}}
		time.Sleep(2 * time.Second)
		if _, err := f.state.Txn(f.ctx, own, []statekv.Op{{Set: "robin/job/wk-1", Value: 1}}); !statekv.IsConflict(err) {
			t.Errorf("a refused life wrote: %v", err)
		}
		f.is(2, "while the former one is refused")
		if hosts := f.lives["host-0"].member.AliveHosts(); len(hosts) != 2 {
			t.Errorf("the refused one counts as alive: %v", hosts)
		}
		if s := f.lives["host-1"].gate.Status(); !strings.Contains(s.Controllers[2].RejectedReason, "lacks") {
			t.Errorf("%+v", s.Controllers)
		}
	})
}

// A new version that ends by itself after 2 s, again and again: the level never rises.
// And a fleet in which one is away rises when it has been away for long enough.
func TestOneThatEndsItself(t *testing.T) {
	story(t, func(f *fleet) {
		f.startAll()
		for range 100 {
			if err := f.start("host-2", false); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			f.end("host-2")
			time.Sleep(time.Second)
		}
		f.is(0, "with one that does not stand")
		f.waits("host-0", "host-2 is away")
		time.Sleep(9 * time.Minute)
		f.is(0, "while it is waited for")
		time.Sleep(70 * time.Second)
		f.is(2, "after that")
	})
}

// The steward old and new in turn, and a whole night with a mixed fleet: nothing rises,
// and nothing is written for it.
func TestMixedNight(t *testing.T) {
	story(t, func(f *fleet) {
		f.startAll()
		f.former("host-2")
		for range 4 {
			kv, _ := f.state.Get(f.ctx, statekv.SessionPrefix+"host-2")
			f.write(statekv.Op{Set: statekv.LeaderKey, Value: statekv.Holder{Host: "host-2", Incarnation: kv.Rev}})
			time.Sleep(time.Minute)
			if err := f.start("host-0", true); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Minute)
		}
		before := f.state.Changes()
		time.Sleep(12 * time.Hour)
		f.is(0, "in the morning")
		if n := f.state.Changes() - before; n > 0 {
			t.Errorf("%d changes in a night in which nothing could be done", n)
		}
	})
}

// A level from the future: those that live under it by mistake end, and those that
// begin are refused with the reason. Nobody writes anything.
func TestLevelFromTheFuture(t *testing.T) {
	story(t, func(f *fleet) {
		f.startAll()
		time.Sleep(soak + 2*time.Second)
		future := rollout.ClusterVersion{Schema: 1, Number: 9, Features: []rollout.Feature{"a", "b", "c", "d", "e", "f", "g", "h", "teleport"}}
		f.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: future})
		time.Sleep(3 * time.Second)
		before := f.state.Changes()
		for _, host := range hosts {
			select {
			case err := <-f.lives[host].ended:
				if err == nil || !strings.Contains(err.Error(), `feature "a"`) {
					t.Error(err)
				}
			default:
				t.Errorf("%s lives on", host)
			}
			if err := f.lives[host].gate.Execute(f.ctx, rollout.CommandLower, "", ""); err == nil {
				t.Errorf("%s wrote a level that it does not know", host)
			}
		}
		if n := f.state.Changes() - before; n > 0 {
			t.Errorf("%d changes", n)
		}
		if err := f.start("host-0", false); !rollout.IsJoinRejected(err) {
			t.Error(err)
		}
	})
}

// A level's key that cannot be read: the fleet serves on as it was, says so, and nobody
// overwrites it.
func TestDamagedLevel(t *testing.T) {
	story(t, func(f *fleet) {
		f.startAll()
		time.Sleep(soak + 6*time.Second)
		f.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: "mangled"})
		time.Sleep(2 * soak)
		kv, err := f.state.Get(f.ctx, statekv.ClusterVersionKey)
		if err != nil || string(kv.Value) != `"mangled"` {
			t.Error(string(kv.Value), err)
		}
		l := f.lives["host-1"]
		if s := l.gate.Status(); s.ClusterVersion != 3 || len(s.Undecodable) != 1 || s.Undecodable[0].Key != statekv.ClusterVersionKey {
			t.Errorf("%+v", s)
		}
		if _, under := rollout.NewVersionReader(l.mirror).Current(); under.Rev != kv.Rev {
			t.Error("writes under the level are not possible any more")
		}
	})
}

// A hold that a person sets while a rise is under way: whichever comes first, the level
// does not rise after it; lowering holds too, until a person lets it rise again.
func TestPersons(t *testing.T) {
	story(t, func(f *fleet) {
		f.startAll()
		time.Sleep(soak + 6*time.Second)
		f.is(3, "after the soak")
		time.Sleep(soak - 3*time.Second)
		f.state.SetTxnLatency(2 * time.Second) // the rise takes that long
		time.Sleep(2 * time.Second)
		do := func(host, verb string) error {
			return f.lives[host].gate.Execute(f.ctx, verb, "", "told so")
		}
		if err := do("host-2", rollout.CommandHold); err != nil {
			t.Fatal(err)
		}
		f.state.SetTxnLatency(0)
		held := f.level()
		time.Sleep(3 * soak)
		f.is(held, "while it is held")
		f.waits("host-1", "held: told so")
		for n := held; n > 0; n-- {
			if err := do("host-1", rollout.CommandLower); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second) // what stored values may need goes off with the steward's next look
			f.is(n-1, "lowered")
		}
		if err := do("host-1", rollout.CommandLower); err == nil || !strings.Contains(err.Error(), "at level 0") {
			t.Error(err)
		}
		time.Sleep(3 * soak)
		f.is(0, "held there")
		if err := do("host-1", rollout.CommandRaise); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		f.is(2, "let rise again")
	})
}

func recordOf(k int) tombstone.Tombstone {
	return tombstone.Tombstone{Status: []string{job.Done, job.Cancelled}[k%7/6], Tasks: 1 + k%300}
}

// Tens of thousands of ended jobs are moved, through an outage, a change of the steward
// and a damaged value, and back again; the part of the write limit stays as it is stated.
// Whoever reads finds every job at every moment.
func TestMovesOfEndedJobs(t *testing.T) {
	const jobs = 5000
	story(t, func(f *fleet) {
		for k := range jobs {
			f.write(tombstone.WriteOps(fmt.Sprintf("wk-%06d", k), recordOf(k), tombstone.LegacyOnly)...)
		}
		damaged := tombstone.LegacyKey("wk-000555")
		f.write(statekv.Op{Set: damaged, Value: "mangled"})
		f.startAll()
		reads := 0
		find := func() {
			t.Helper()
			for k := reads % 97; k < jobs; k += 997 {
				if r, err := tombstone.Read(f.ctx, f.state, nil, fmt.Sprintf("wk-%06d", k)); k != 555 && (err != nil || r != recordOf(k)) {
					t.Fatal(k, r, err)
				}
			}
			reads++
		}
		wait := func(what string, done func() bool) (took time.Duration, perSecond float64) {
			t.Helper()
			from, changes := time.Now(), f.state.Changes()
			for !done() {
				if time.Since(from) > time.Hour {
					t.Fatalf("%s is not done after an hour", what)
				}
				time.Sleep(5 * time.Second)
				find()
			}
			took = time.Since(from)
			return took, float64(f.state.Changes()-changes) / took.Seconds()
		}
		wait("the rise", func() bool { return f.level() == 4 })
		count := func(prefix string) int { return len(f.state.ListAll(prefix)) }

		wait("half of the move", func() bool { return count(tombstone.Prefix) > jobs/2 })
		f.state.SetOutage(true, false)
		time.Sleep(20 * time.Second)
		f.state.SetOutage(false, true) // answers are lost: what was sent is carried out
		time.Sleep(20 * time.Second)
		f.state.SetOutage(false, false)
		if err := f.start("host-1", true); err != nil { // which is steward now
			t.Fatal(err)
		}
		f.lower(5) // the limits, in the middle of it
		took, rate := wait("the move", func() bool { return count(tombstone.Prefix) == jobs-1 })
		if t.Logf("the second half of %d records took %v, %.1f changes a second", jobs, took, rate); rate > 9 {
			t.Errorf("%.1f changes a second", rate)
		}
		time.Sleep(5 * time.Second)
		bad := f.lives["host-2"].gate.Status().Undecodable
		if kv, err := f.state.Get(f.ctx, damaged); err != nil || string(kv.Value) != `"mangled"` || len(bad) != 1 || bad[0].Key != damaged {
			t.Error(bad, string(kv.Value), err)
		}
		if err := f.lives["host-2"].gate.Execute(f.ctx, rollout.CommandRaise, "", ""); err != nil {
			t.Fatal(err)
		}
		wait("the rise that closes", func() bool { return f.level() == 5 })
		wait("the end of the former records", func() bool { return count(tombstone.LegacyPrefix) == 1 }) // the damaged one
		if err := f.lives["host-2"].gate.Execute(f.ctx, rollout.CommandLower, "", ""); err != nil {
			t.Fatal(err)
		}
		f.is(4, "lowered")
		time.Sleep(5 * time.Second)
		if err := f.lives["host-2"].gate.Execute(f.ctx, rollout.CommandLower, "", ""); err == nil || !strings.Contains(err.Error(), "being brought back") {
			t.Errorf("the level was left while former records are missing: %v", err)
		}
		wait("bringing them back", func() bool { return count(tombstone.LegacyPrefix) == jobs })
		time.Sleep(5 * time.Second)
		if err := f.lives["host-2"].gate.Execute(f.ctx, rollout.CommandLower, "", ""); err != nil {
			t.Error(err)
		}
		f.is(3, "lowered once more")
		for k := range jobs {
			kv, err := f.state.Get(f.ctx, tombstone.LegacyKey(fmt.Sprintf("wk-%06d", k)))
			var was struct {
				Status string `json:"status"`
				Tasks  int    `json:"tasks"`
			}
			if k != 555 && (err != nil || json.Unmarshal(kv.Value, &was) != nil || was.Tasks != recordOf(k).Tasks || was.Status != recordOf(k).Status) {
				t.Fatal(k, string(kv.Value), err)
			}
		}
	})
}

// A move that is stopped at any moment, by the end of its steward or by another one that
// takes the role while the first goes on, is finished by the next: every record is there
// once, in both forms, as it was.
func TestMoveStoppedAnywhere(t *testing.T) {
	const jobs = 60
	for stop := range 12 {
		for _, ends := range []bool{true, false} {
			story(t, func(f *fleet) {
				for k := range jobs {
					f.write(tombstone.WriteOps(fmt.Sprintf("wk-%03d", k), recordOf(k), tombstone.LegacyOnly)...)
				}
				three := rollout.ClusterVersion{Schema: 1, Number: 3, Features: rollout.FeaturesAt(3)}
				f.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: three}, statekv.Op{Set: statekv.MigrationKey, Value: rollout.Migration{Name: rollout.MigrationCopy, Version: 3}})
				if err := f.start("host-0", true); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Duration(stop) * 700 * time.Millisecond)
				if ends {
					f.end("host-0")
				}
				if err := f.start("host-1", true); err != nil {
					t.Fatal(err)
				}
				time.Sleep(30 * time.Second)
				kv, err := f.state.Get(f.ctx, statekv.MigrationKey)
				var m rollout.Migration
				if err != nil || json.Unmarshal(kv.Value, &m) != nil || !m.Done || m.Scanned != jobs {
					t.Fatalf("stopped after %d: %s %v", stop, kv.Value, err)
				}
				for k := range jobs {
					id := fmt.Sprintf("wk-%03d", k)
					for _, key := range []string{tombstone.Key(id), tombstone.LegacyKey(id)} {
						kv, err := f.state.Get(f.ctx, key)
						if err != nil {
							t.Fatal(key, err)
						}
						if _, r, _, err := tombstone.Parse(key, kv.Value); err != nil || r != recordOf(k) {
							t.Fatal(key, r, err)
						}
					}
				}
			})
		}
	}
}

// However many values cannot be read, and however long their keys are, what is told of
// them fits into the move's key, so that the move goes on to its end.
func TestManyUnreadableValuesDoNotStopAMove(t *testing.T) {
	story(t, func(f *fleet) {
		const bad = 40
		for k := range bad {
			key := tombstone.LegacyPrefix + fmt.Sprintf("%03d", k)
			f.write(statekv.Op{Set: key + strings.Repeat("x", 200-len(key)), Value: "mangled"})
		}
		f.write(tombstone.WriteOps("wk-1", recordOf(1), tombstone.LegacyOnly)...)
		f.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: rollout.ClusterVersion{Schema: 1, Number: 3, Features: rollout.FeaturesAt(3)}}, statekv.Op{Set: statekv.MigrationKey, Value: rollout.Migration{Name: rollout.MigrationCopy, Version: 3}})
		if err := f.start("host-0", true); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		kv, err := f.state.Get(f.ctx, statekv.MigrationKey)
		var m rollout.Migration
		if err != nil || json.Unmarshal(kv.Value, &m) != nil || !m.Done || m.Undecodable != bad || len(kv.Value) > 4096 {
			t.Errorf("%d bytes: %s %v", len(kv.Value), kv.Value, err)
		}
		if _, err := f.state.Get(f.ctx, tombstone.Key("wk-1")); err != nil {
			t.Error(err)
		}
	})
}
