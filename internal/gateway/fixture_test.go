package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/changefeed"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/dag"
	"robinstack/internal/job"
	"robinstack/internal/policy"
	"robinstack/internal/recovery"
	"robinstack/internal/rollout"
	"robinstack/internal/scheduler"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// otherJobShard is a job shard owned by another controller.
const otherJobShard = "host-9.1"

// gatewayFixture is a gateway with a session whose scheduler has no machines.
type gatewayFixture struct {
	t          *testing.T
	ctx        context.Context
	state      *adaptiveStateService
	gateway    *Gateway
	components *Components
}

// noPauses reports a process that was never paused.
func noPauses() (count int, longest time.Duration) { return 0, 0 }

// adaptiveStateService is a state service whose client halves its transaction size limit when a
// transaction is rejected as too large.
type adaptiveStateService struct {
	*emulator.StateService
	maxOps     int
	rejectTxns atomic.Bool // reject every transaction
}

func (s *adaptiveStateService) Txn(
	ctx context.Context, when []statekv.Compare, then []statekv.Op,
) (uint64, error) {
	if s.rejectTxns.Load() {
		return 0, statekv.ErrRejected
	}
	rev, err := s.StateService.Txn(ctx, when, then)
	if errors.Is(err, statekv.ErrTooLarge) {
		s.maxOps = max(1, len(then)/2)
	}
	return rev, err
}

func (s *adaptiveStateService) MaxTxnOps(ops int) int {
	if s.maxOps > 0 {
		return min(s.maxOps, ops)
	}
	return ops
}

// noPeers is the network of a controller that reaches no other controller.
type noPeers struct{}

func (noPeers) Call(context.Context, string, string, any, any) error {
	return fmt.Errorf("no other controller is reachable")
}

// runWithGateway runs a scenario in a synctest bubble, two seconds after a session began.
func runWithGateway(t *testing.T, scenario func(fixture *gatewayFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
			synctest.Wait()
		}()
		fixture := newGatewayFixture(ctx, t)
		fixture.startSession()
		time.Sleep(2 * time.Second)
		scenario(fixture)
	})
}

func newGatewayFixture(ctx context.Context, t *testing.T) *gatewayFixture {
	t.Helper()
	const maxValueBytes, maxTxnOps = 2048, 8
	settings := &config.Settings{
		Host:  "host-0",
		Peers: []config.Peer{{Host: "host-1"}},
		Teams: map[string]config.Team{"t": {Name: "t"}},
		Zones: []string{"a"},
		Workers: config.WorkerTiming{
			HeartbeatInterval:    3 * time.Second,
			LeaseDuration:        30 * time.Second,
			CancellationDeadline: 60 * time.Second,
		},
		StateLimits: config.StateLimits{
			RequestsPerSecond: 100,
			WritesPerSecond:   50,
			MaxValueBytes:     maxValueBytes,
			MaxTxnOps:         maxTxnOps,
		},
	}
	catalogue := &cloud.Catalogue{}
	catalogue.Set([]cloud.MachineType{{Name: "box", CPUs: 8, GPUs: 2, MemoryGB: 64, Zones: []string{"a"}}})
	state := &adaptiveStateService{StateService: emulator.NewStateService()}
	state.SetSizeLimits(maxValueBytes, maxTxnOps)
	return &gatewayFixture{
		t:       t,
		ctx:     ctx,
		state:   state,
		gateway: New(settings, state, catalogue, noPauses),
	}
}

// startSession opens a session and starts its components.
func (f *gatewayFixture) startSession() {
	f.t.Helper()
	settings, types := f.gateway.settings, f.gateway.catalogue.Types
	c := &Components{Peers: noPeers{}, RecoveryTimeline: recovery.NewTimeline(time.Now())}
	prefixes := []string{statekv.ClusterPrefix, job.RecordPrefix, job.SpecFragmentPrefix}
	onEvents := func(events []statekv.Event) {
		for _, event := range events {
			c.Scheduler.OnJobEvent(event)
			f.gateway.OnTombstoneEvent(event)
		}
	}
	c.Mirror = statekv.NewMirror(f.state, prefixes, statekv.RootPrefix, time.Second, 0, onEvents)
	oneSecond := func(*job.Spec) time.Duration { return time.Second }
	c.DependencyTracker = dag.NewTracker(c.Mirror, oneSecond, f.gateway.CachedTombstone)
	c.Mirror.OnApply = c.DependencyTracker.OnEvents
	if err := c.Mirror.Load(f.ctx); err != nil {
		f.t.Fatal(err)
	}
	var err error
	c.Session, err = statekv.OpenSession(
		f.ctx, f.state, c.Mirror, settings.Host, 4*time.Second, statekv.Registration{},
	)
	if err != nil {
		f.t.Fatal(err)
	}
	c.ClusterVersion = rollout.NewVersionReader(c.Mirror)
	c.Scheduler = scheduler.New(
		settings, policy.Default(), f.state, c.Mirror, c.Session, noPeers{}, types, c.DependencyTracker,
	)
	c.Feed = changefeed.New(
		noPeers{}, c.Mirror, []string{settings.Host}, c.Scheduler.HighestEpoch, c.Scheduler.OnEntries,
	)
	go c.Mirror.Run(f.ctx)
	go func() { _ = c.Session.KeepAlive(f.ctx) }() // runs until the scenario ends
	go c.Scheduler.Run(f.ctx, c.Feed)
	go c.DependencyTracker.Run(f.ctx, f.gateway.ReadTombstone)
	f.gateway.SetComponents(c)
	f.components = c
}

// request sends one request and returns the response.
func (f *gatewayFixture) request(method, path, body string) (code int, answer map[string]any, retryAfter string) {
	f.t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := f.gateway.HandleRequest(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(raw, &answer) != nil {
		f.t.Fatalf("%s %s: got body %s, error %v; want a JSON object", method, path, raw, err)
	}
	return response.StatusCode, answer, response.Header.Get("Retry-After")
}

// submit submits a job with dependencies and checks the status code; 503 must have Retry-After.
func (f *gatewayFixture) submit(code int, id string, dependencies ...string) map[string]any {
	f.t.Helper()
	const submission = `{"id":%q,"job_class":"c","owner":"t","shape":"sweep","rank":"normal","pieces":1,` +
		`"cpus":1,"gpus":0,"mem_gb":1,"bundle":"i","pull_gb":1,"host_kinds":null,"site":null,` +
		`"one_zone":false,"spread":false,"loaners":true,"guess_s":5,"snapshot_every_s":0,"snapshot_s":0,` +
		`"due_s":null,"waits_on":%s}`
	list, err := json.Marshal(dependencies)
	if err != nil {
		f.t.Fatal(err)
	}
	got, answer, retryAfter := f.request("POST", "/submissions", fmt.Sprintf(submission, id, list))
	if got != code || (code == 503) != (retryAfter != "") {
		f.t.Fatalf("submission of %s with dependencies %.60s: got %d %v, Retry-After %q; want %d",
			id, list, got, answer, retryAfter, code)
	}
	return answer
}

func (f *gatewayFixture) cancel(id string) (code int, answer map[string]any, retryAfter string) {
	f.t.Helper()
	return f.request("POST", "/submissions/"+id+"/abort", "")
}

// expectStatus checks the response to a query.
func (f *gatewayFixture) expectStatus(id, status string) {
	f.t.Helper()
	code, answer, _ := f.request("GET", "/submissions/"+id, "")
	if code != 200 || answer["status"] != status {
		f.t.Fatalf("query of %s: got %d %v, want 200 and status %s", id, code, answer, status)
	}
}

// write changes keys as another controller would.
func (f *gatewayFixture) write(ops ...statekv.Op) {
	f.t.Helper()
	if _, err := f.state.Txn(f.ctx, nil, ops); err != nil {
		f.t.Fatal(err)
	}
}

// writeRecord writes the record of a job that another controller accepts.
func (f *gatewayFixture) writeRecord(spec job.Spec) {
	f.t.Helper()
	f.write(statekv.Op{Set: job.RecordKey(spec.ID), Value: job.Record{Spec: spec, JobShard: otherJobShard}})
}

// writeTombstone writes the tombstone of a job with one task.
func (f *gatewayFixture) writeTombstone(id, status string, formats tombstone.Formats) {
	f.t.Helper()
	f.write(tombstone.WriteOps(id, tombstone.Tombstone{Status: status, Tasks: 1}, formats)...)
}

// clearTombstones empties the tombstone cache.
func (f *gatewayFixture) clearTombstones() {
	cache := &f.gateway.tombstones
	cache.mu.Lock()
	defer cache.mu.Unlock()
	clear(cache.entries)
}

func (f *gatewayFixture) writeVersion(version rollout.ClusterVersion) {
	f.t.Helper()
	f.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: version})
}

// enableDependencies raises the cluster version to one with the dependencies feature.
func (f *gatewayFixture) enableDependencies() {
	f.t.Helper()
	f.writeVersion(rollout.ClusterVersion{
		Schema:   1,
		Number:   2,
		Features: []rollout.Feature{rollout.FeatureVersionGate, rollout.FeatureDependencies},
	})
	time.Sleep(time.Second)
}
