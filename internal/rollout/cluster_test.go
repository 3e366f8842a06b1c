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

// testCluster is a cluster of controllers as far as upgrades go.
type testCluster struct {
	t             *testing.T
	ctx           context.Context
	state         *emulator.StateService
	controllers   map[string]*testController
	migrationRate float64 // changes a second

	learnedTxnOps atomic.Int64 // what the migrators' clients learned; 0: nothing
}

// testController is one session of a controller of this build.
type testController struct {
	gate    *rollout.VersionGate
	mirror  *statekv.Mirror
	session *statekv.Session
	result  chan error
	stop    context.CancelFunc
}

// runScenario runs a test of a cluster of its own in synthetic time.
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

// startFormerBuild begins a session as controllers of schema 0 do: without looking, with
// an empty key.
func (f *testCluster) startFormerBuild(host string) {
	f.t.Helper()
	f.stop(host)
	f.write(statekv.Op{Set: statekv.SessionPrefix + host, Value: struct{}{}})
}

// start begins a session of this build, which takes the leader's role if leader is set.
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

// stop ends a session, its lease included.
func (f *testCluster) stop(host string) {
	f.t.Helper()
	if c := f.controllers[host]; c != nil {
		c.stop()
		delete(f.controllers, host)
	}
	f.write(statekv.Op{Delete: statekv.SessionPrefix + host})
}

// limitTxnOps has the state service take no more than so many changes from now on, and the
// migrators' clients learn that from the first rejection.
func (f *testCluster) limitTxnOps(ops int) {
	f.learnedTxnOps.Store(int64(ops))
	f.state.SetSizeLimits(2048, ops)
}

// learningStore is the state service as a client sees it that learns how many changes it
// takes.
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

// version returns the stored version; absent is version 0.
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
		f.t.Fatalf("%s: version %d and not %d", when, n, number)
	}
}

// requireRaiseBlockedBy asserts what a raise waits for, as host's status says.
func (f *testCluster) requireRaiseBlockedBy(host, reason string) {
	f.t.Helper()
	if s := f.controllers[host].gate.Status(); !strings.Contains(s.RaiseBlockedBy, reason) {
		f.t.Errorf("the status says %q and not %q", s.RaiseBlockedBy, reason)
	}
}
