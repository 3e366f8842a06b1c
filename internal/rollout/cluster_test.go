package rollout_test

import (
	"context"
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
)

// soak is the policy's soak time in these tests.
const soak = 30 * time.Second

var hosts = []string{"host-0", "host-1", "host-2"}

// testCluster is a set of controllers. Of each controller, only the parts that take part in
// upgrades run.
type testCluster struct {
	t             *testing.T
	ctx           context.Context
	state         *emulator.StateService
	controllers   map[string]*testController
	migrationRate float64 // operations a second

	learnedTxnOps atomic.Int64 // transaction limit that the migrators' clients have learned; 0: none
}

// testController is a controller of this build with one session.
type testController struct {
	gate    *rollout.VersionGate
	mirror  *statekv.Mirror
	session *statekv.Session
	result  chan error
	stop    context.CancelFunc
}

// runScenario runs a test with a cluster of its own in synthetic time.
func runScenario(t *testing.T, scenario func(f *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		scenario(&testCluster{
			t: t, ctx: ctx, state: emulator.NewStateService(),
			controllers: map[string]*testController{}, migrationRate: 8,
		})
	})
}

// startAll starts all controllers, the first as leader.
func (f *testCluster) startAll() {
	f.t.Helper()
	for k, host := range hosts {
		if err := f.start(host, k == 0); err != nil {
			f.t.Fatal(err)
		}
	}
}

// startLegacyBuild begins a session as a build that predates cluster versions does: without reading
// the version, and with an empty object as the value of the session key.
func (f *testCluster) startLegacyBuild(host string) {
	f.t.Helper()
	f.stop(host)
	f.write(statekv.Op{Set: statekv.SessionPrefix + host, Value: struct{}{}})
}

// start begins a session of this build. If leader is set, the session becomes the leader.
func (f *testCluster) start(host string, leader bool) error {
	f.t.Helper()
	f.stop(host)
	ctx, stop := context.WithCancel(f.ctx)
	mirror := statekv.NewMirror(f.state, []string{statekv.ClusterPrefix, job.RecordPrefix}, statekv.RootPrefix,
		time.Second, 0, func([]statekv.Event) {})
	if err := mirror.Load(ctx); err != nil {
		f.t.Fatal(err)
	}
	registration, err := rollout.NewRegistration(mirror, rollout.LocalCapabilities())
	if err != nil {
		stop()
		return err
	}
	session, err := statekv.OpenSession(ctx, f.state, mirror, host, 4*time.Second, registration)
	if err != nil {
		stop()
		return err
	}
	epoch := uint64(0)
	if leader {
		takeRole := []statekv.Op{{Set: statekv.LeaderKey, Value: session.Holder}}
		if epoch, err = session.Write(ctx, nil, takeRole); err != nil {
			f.t.Fatal(err)
		}
	}
	leaderEpoch := func() uint64 {
		if kv, _ := mirror.Get(statekv.LeaderKey); kv.Rev == epoch {
			return epoch
		}
		return 0
	}
	pol := policy.Default()
	pol.RolloutSoak = soak
	c := &testController{
		gate:    rollout.NewVersionGate(hosts, pol, mirror, session, f.state, leaderEpoch),
		mirror:  mirror,
		session: session,
		result:  make(chan error, 1),
		stop:    stop,
	}
	store := learningStore{f.state, &f.learnedTxnOps}
	migrator := rollout.NewMigrator(store, mirror, session, leaderEpoch, 24, f.migrationRate)
	go mirror.Run(ctx)
	go func() { c.result <- session.KeepAlive(ctx) }()
	go c.gate.Run(ctx)
	go migrator.Run(ctx)
	f.controllers[host] = c
	return nil
}

// stop stops a controller and deletes its session key, as the expiry of its lease would.
func (f *testCluster) stop(host string) {
	f.t.Helper()
	if c := f.controllers[host]; c != nil {
		c.stop()
		delete(f.controllers, host)
	}
	f.write(statekv.Op{Delete: statekv.SessionPrefix + host})
}

// limitTxnOps lowers the number of operations that the state service accepts in a transaction. The
// migrators' clients have learned the new limit at once, as after a rejected transaction.
func (f *testCluster) limitTxnOps(ops int) {
	f.learnedTxnOps.Store(int64(ops))
	f.state.SetSizeLimits(2048, ops)
}

// learningStore is the state service behind a client that learns the transaction limit.
type learningStore struct {
	*emulator.StateService
	learnedTxnOps *atomic.Int64
}

func (s learningStore) MaxTxnOps(ops int) int {
	if learned := int(s.learnedTxnOps.Load()); learned > 0 {
		return min(learned, ops)
	}
	return ops
}

func (f *testCluster) write(ops ...statekv.Op) {
	f.t.Helper()
	if _, err := f.state.Txn(f.ctx, nil, ops); err != nil {
		f.t.Fatal(err)
	}
}

// version returns the stored version, or version 0 if the key does not exist.
func (f *testCluster) version() rollout.ClusterVersion {
	f.t.Helper()
	kv, err := f.state.Get(f.ctx, statekv.ClusterVersionKey)
	if err != nil {
		return rollout.ClusterVersion{}
	}
	version, err := rollout.ParseClusterVersion(kv.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	return version
}

func (f *testCluster) versionNumber() int {
	f.t.Helper()
	return f.version().Number
}

func (f *testCluster) requireVersion(number int, when string) {
	f.t.Helper()
	if n := f.versionNumber(); n != number {
		f.t.Fatalf("%s: got version %d, want %d", when, n, number)
	}
}

// requireRaiseBlockedBy asserts that host's status gives a reason why the version is not raised.
func (f *testCluster) requireRaiseBlockedBy(host, reason string) {
	f.t.Helper()
	if s := f.controllers[host].gate.Status(); !strings.Contains(s.RaiseBlockedBy, reason) {
		f.t.Errorf("raise blocked by %q, want a reason with %q", s.RaiseBlockedBy, reason)
	}
}
