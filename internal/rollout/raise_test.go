package rollout_test

import (
	"strings"
	"testing"
	"time"

	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
)

// The version is raised within the soak time plus 5 s of the last new session, by one
// feature at a time, up to the irreversible one.
func TestVersionIsRaisedAfterSoakTime(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.startAll()
		time.Sleep(5 * time.Second)
		f.requireVersion(2, "at once, with the immediate features")
		for n := 3; n <= 4; n++ {
			time.Sleep(soak - 6*time.Second)
			f.requireVersion(n-1, "before the soak time")
			time.Sleep(7 * time.Second)
			f.requireVersion(n, "after the soak time")
		}
		time.Sleep(10 * soak)
		f.requireVersion(4, "without an operator")
		f.requireRaiseBlockedBy("host-0", "waits for a person")
	})
}

// One host runs the former build, then this one, then the former again during an upgrade:
// the version waits for it, and after the raise the former one is rejected; its writes are
// not applied, and the others serve on.
func TestFormerBuildBlocksRaiseAndIsRejectedAfterIt(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.startFormerBuild("host-2")
		if f.start("host-0", true) != nil || f.start("host-1", false) != nil {
			t.Fatal("a controller was rejected")
		}
		time.Sleep(3 * soak)
		f.requireVersion(0, "with one of the former build")
		f.requireRaiseBlockedBy("host-0", `host-2 (build form 0) lacks feature "gated"`)
		if err := f.start("host-2", false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		f.startFormerBuild("host-2")
		time.Sleep(3 * soak)
		f.requireVersion(0, "with one of the former build again")
		if err := f.start("host-2", false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		f.requireVersion(2, "with all of this build")

		f.startFormerBuild("host-2")
		kv, _ := f.state.Get(f.ctx, statekv.SessionPrefix+"host-2")
		own := []statekv.Compare{{Key: statekv.SessionPrefix + "host-2", Rev: kv.Rev}}
		time.Sleep(2 * time.Second)
		if _, err := f.state.Txn(f.ctx, own, []statekv.Op{{Set: "robin/job/wk-1", Value: 1}}); !statekv.IsConflict(err) {
			t.Errorf("a rejected session wrote: %v", err)
		}
		f.requireVersion(2, "while the former build is rejected")
		if hosts := f.controllers["host-0"].session.AliveHosts(); len(hosts) != 2 {
			t.Errorf("the rejected one counts as alive: %v", hosts)
		}
		if s := f.controllers["host-1"].gate.Status(); !strings.Contains(s.Controllers[2].RejectedReason, "lacks") {
			t.Errorf("%+v", s.Controllers)
		}
	})
}

// A controller of this build ends by itself after 2 s, again and again: the version is
// never raised. And a cluster in which one is down is raised when it has been down for long
// enough.
func TestCrashLoopingControllerBlocksRaise(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.startAll()
		for range 100 {
			if err := f.start("host-2", false); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			f.stop("host-2")
			time.Sleep(time.Second)
		}
		f.requireVersion(0, "with one that is restarted again and again")
		f.requireRaiseBlockedBy("host-0", "host-2 is away")
		time.Sleep(9 * time.Minute)
		f.requireVersion(0, "before its absence timeout")
		time.Sleep(70 * time.Second)
		f.requireVersion(2, "after its absence timeout")
	})
}

// The leader has the former build and this one in turn, and builds are mixed for a whole
// night: nothing is raised, and nothing is written for it.
func TestMixedBuildsWriteNothing(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.startAll()
		f.startFormerBuild("host-2")
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
		f.requireVersion(0, "after a night")
		if n := f.state.Changes() - before; n > 0 {
			t.Errorf("%d changes in a night in which nothing could be raised", n)
		}
	})
}

// A version of a later build: sessions that run under it by mistake end, and those that
// begin are rejected with the reason. Nobody writes anything.
func TestUnsupportedVersionEndsSessions(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.startAll()
		time.Sleep(soak + 2*time.Second)
		future := rollout.ClusterVersion{Schema: 1, Number: 9, Features: []rollout.Feature{"a", "b", "c", "d", "e", "f", "g", "h", "teleport"}}
		f.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: future})
		time.Sleep(3 * time.Second)
		before := f.state.Changes()
		for _, host := range hosts {
			select {
			case err := <-f.controllers[host].result:
				if err == nil || !strings.Contains(err.Error(), `feature "a"`) {
					t.Error(err)
				}
			default:
				t.Errorf("the session of %s goes on", host)
			}
			if err := f.controllers[host].gate.Execute(f.ctx, rollout.CommandLower, "", ""); err == nil {
				t.Errorf("%s wrote a version that it does not support", host)
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

// A version's key that cannot be decoded: the cluster serves on as it was, reports it, and
// nobody overwrites the key.
func TestUndecodableVersionIsKept(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.startAll()
		time.Sleep(soak + 6*time.Second)
		f.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: "mangled"})
		time.Sleep(2 * soak)
		kv, err := f.state.Get(f.ctx, statekv.ClusterVersionKey)
		if err != nil || string(kv.Value) != `"mangled"` {
			t.Error(string(kv.Value), err)
		}
		l := f.controllers["host-1"]
		if s := l.gate.Status(); s.ClusterVersion != 3 || len(s.Undecodable) != 1 || s.Undecodable[0].Key != statekv.ClusterVersionKey {
			t.Errorf("%+v", s)
		}
		if _, under := rollout.NewVersionReader(l.mirror).Current(); under.Rev != kv.Rev {
			t.Error("writes under the version are not possible any more")
		}
	})
}

// An operator holds the version while a raise is under way: whichever comes first, the
// version is not raised after it; lowering holds too, until an operator allows raises again.
func TestOperatorCommands(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.startAll()
		time.Sleep(soak + 6*time.Second)
		f.requireVersion(3, "after the soak time")
		time.Sleep(soak - 3*time.Second)
		f.state.SetTxnLatency(2 * time.Second) // the raise takes that long
		time.Sleep(2 * time.Second)
		execute := func(host, command string) error {
			return f.controllers[host].gate.Execute(f.ctx, command, "", "told so")
		}
		if err := execute("host-2", rollout.CommandHold); err != nil {
			t.Fatal(err)
		}
		f.state.SetTxnLatency(0)
		held := f.versionNumber()
		time.Sleep(3 * soak)
		f.requireVersion(held, "while it is held")
		f.requireRaiseBlockedBy("host-1", "held: told so")
		for n := held; n > 0; n-- {
			if err := execute("host-1", rollout.CommandLower); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second) // what stored values may need is disabled by the leader a moment later
			f.requireVersion(n-1, "lowered")
		}
		if err := execute("host-1", rollout.CommandLower); err == nil || !strings.Contains(err.Error(), "at level 0") {
			t.Error(err)
		}
		time.Sleep(3 * soak)
		f.requireVersion(0, "held there")
		if err := execute("host-1", rollout.CommandRaise); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		f.requireVersion(2, "raised again")
	})
}
