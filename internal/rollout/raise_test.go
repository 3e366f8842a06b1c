package rollout_test

import (
	"strings"
	"testing"
	"time"

	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
)

// The version is raised by one feature at a time, up to the irreversible one, within the soak time
// plus 5 s of the last new session.
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

// During an upgrade, one host runs a legacy build, which predates cluster versions, then this build,
// then the legacy build again. The version is not raised while the legacy build runs. After the
// raise the legacy build is rejected: its writes are not applied, and the other controllers
// continue.
func TestLegacyBuildBlocksRaiseAndIsRejectedAfterIt(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.startLegacyBuild("host-2")
		if f.start("host-0", true) != nil || f.start("host-1", false) != nil {
			t.Fatal("a controller was rejected")
		}
		time.Sleep(3 * soak)
		f.requireVersion(0, "with a controller of a legacy build")
		f.requireRaiseBlockedBy("host-0", `host-2 (build form 0) lacks feature "gated"`)
		if err := f.start("host-2", false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		f.startLegacyBuild("host-2")
		time.Sleep(3 * soak)
		f.requireVersion(0, "with a controller of a legacy build again")
		if err := f.start("host-2", false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		f.requireVersion(2, "with all controllers of this build")

		f.startLegacyBuild("host-2")
		kv, _ := f.state.Get(f.ctx, statekv.SessionPrefix+"host-2")
		own := []statekv.Compare{{Key: statekv.SessionPrefix + "host-2", Rev: kv.Rev}}
		time.Sleep(2 * time.Second)
		if _, err := f.state.Txn(f.ctx, own, []statekv.Op{{Set: "robin/job/wk-1", Value: 1}}); !statekv.IsConflict(err) {
			t.Errorf("write of a rejected session: got error %v, want a conflict", err)
		}
		f.requireVersion(2, "while the legacy build is rejected")
		if hosts := f.controllers["host-0"].session.AliveHosts(); len(hosts) != 2 {
			t.Errorf("got live hosts %v, want 2 without the rejected one", hosts)
		}
		if s := f.controllers["host-1"].gate.Status(); !strings.Contains(s.Controllers[2].RejectedReason, "lacks") {
			t.Errorf("got controllers %+v, want host-2 rejected for what it lacks", s.Controllers)
		}
	})
}

// While a controller of this build ends 2 s after each start, the version is not raised. Once a
// controller has been down for the absence timeout, the version is raised without it.
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
		f.requireVersion(0, "with a controller that restarts again and again")
		f.requireRaiseBlockedBy("host-0", "host-2 is away")
		time.Sleep(9 * time.Minute)
		f.requireVersion(0, "before its absence timeout")
		time.Sleep(70 * time.Second)
		f.requireVersion(2, "after its absence timeout")
	})
}

// While builds are mixed for a night, and leaders of a legacy build and of this one alternate, the
// version is not raised and nothing is written in the attempt.
func TestMixedBuildsWriteNothing(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.startAll()
		f.startLegacyBuild("host-2")
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
			t.Errorf("got %d operations in a night in which nothing could be raised, want 0", n)
		}
	})
}

// Under a version that only a later build supports, sessions that run by mistake end, new sessions
// are rejected with the reason, and nobody writes anything.
func TestUnsupportedVersionEndsSessions(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.startAll()
		time.Sleep(soak + 2*time.Second)
		future := rollout.ClusterVersion{
			Schema: 1, Number: 9,
			Features: []rollout.Feature{"a", "b", "c", "d", "e", "f", "g", "h", "teleport"},
		}
		f.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: future})
		time.Sleep(3 * time.Second)
		before := f.state.Changes()
		for _, host := range hosts {
			select {
			case err := <-f.controllers[host].result:
				if err == nil || !strings.Contains(err.Error(), `feature "a"`) {
					t.Errorf("the session of %s ended with %v, want an error that names the feature", host, err)
				}
			default:
				t.Errorf("the session of %s has not ended", host)
			}
			if err := f.controllers[host].gate.Execute(f.ctx, rollout.CommandLower, "", ""); err == nil {
				t.Errorf("%s wrote a version that it does not support", host)
			}
		}
		if n := f.state.Changes() - before; n > 0 {
			t.Errorf("got %d operations, want 0", n)
		}
		if err := f.start("host-0", false); !rollout.IsJoinRejected(err) {
			t.Errorf("new session at an unsupported version: got error %v, want a rejection", err)
		}
	})
}

// If the version's key cannot be decoded, the cluster continues at the previous version and reports
// the key, and nobody overwrites it.
func TestUndecodableVersionIsKept(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		f.startAll()
		time.Sleep(soak + 6*time.Second)
		f.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: "mangled"})
		time.Sleep(2 * soak)
		kv, err := f.state.Get(f.ctx, statekv.ClusterVersionKey)
		if err != nil || string(kv.Value) != `"mangled"` {
			t.Errorf("the damaged value became %s (error %v)", kv.Value, err)
		}
		controller := f.controllers["host-1"]
		s := controller.gate.Status()
		if s.ClusterVersion != 3 || len(s.Undecodable) != 1 || s.Undecodable[0].Key != statekv.ClusterVersionKey {
			t.Errorf("got status %+v, want version 3 with the undecodable key", s)
		}
		if _, fence := rollout.NewVersionReader(controller.mirror).Current(); fence.Rev != kv.Rev {
			t.Error("the compare does not have the key's revision, so conditional writes would fail")
		}
	})
}

// An operator holds the version while a raise is being written: whichever is applied first, the
// version is not raised after the hold. Lowering holds the version too, until an operator allows
// raises again.
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
		f.requireVersion(held, "while the version is held")
		f.requireRaiseBlockedBy("host-1", "held: told so")
		for n := held; n > 0; n-- {
			if err := execute("host-1", rollout.CommandLower); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second) // a feature that stored values may need is disabled by the leader, in a second step
			f.requireVersion(n-1, "lowered")
		}
		if err := execute("host-1", rollout.CommandLower); err == nil || !strings.Contains(err.Error(), "at level 0") {
			t.Errorf("lowering version 0: got error %v", err)
		}
		time.Sleep(3 * soak)
		f.requireVersion(0, "held at version 0")
		if err := execute("host-1", rollout.CommandRaise); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		f.requireVersion(2, "raised again")
	})
}
