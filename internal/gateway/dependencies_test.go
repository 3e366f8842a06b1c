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

// gatewayFixture is a gateway with a life to serve: a placer without machines.
type gatewayFixture struct {
	t          *testing.T
	ctx        context.Context
	state      *shrinkingStateService
	gateway    *Gateway
	components *Components
}

// shrinkingStateService is a state service whose client learns how many changes it takes.
type shrinkingStateService struct {
	*emulator.StateService
	maxOps     int
	rejectTxns atomic.Bool // every transaction
}

func (l *shrinkingStateService) Txn(ctx context.Context, when []statekv.Compare, then []statekv.Op) (uint64, error) {
	if l.rejectTxns.Load() {
		return 0, statekv.ErrRejected
	}
	rev, err := l.StateService.Txn(ctx, when, then)
	if errors.Is(err, statekv.ErrTooLarge) {
		l.maxOps = max(1, len(then)/2)
	}
	return rev, err
}

func (l *shrinkingStateService) MaxTxnOps(ops int) int {
	if l.maxOps > 0 {
		return min(l.maxOps, ops)
	}
	return ops
}

type noPeers struct{}

func (noPeers) Call(context.Context, string, string, any, any) error {
	return fmt.Errorf("there are no others")
}

func runWithGateway(t *testing.T, tell func(d *gatewayFixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(10 * time.Second); synctest.Wait() }()
		settings := &config.Settings{Host: "host-0", Peers: []config.Peer{{Host: "host-1"}}, Teams: map[string]config.Team{"t": {Name: "t"}}, Zones: []string{"a"},
			Workers:     config.WorkerTiming{HeartbeatInterval: 3 * time.Second, LeaseDuration: 30 * time.Second, CancellationDeadline: 60 * time.Second},
			StateLimits: config.StateLimits{RequestsPerSecond: 100, WritesPerSecond: 50, MaxValueBytes: 2048, MaxTxnOps: 8}}
		catalogue := &cloud.Catalogue{}
		catalogue.Set([]cloud.MachineType{{Name: "box", CPUs: 8, GPUs: 2, MemoryGB: 64, Zones: []string{"a"}}})
		state := &shrinkingStateService{StateService: emulator.NewStateService()}
		state.SetSizeLimits(2048, 8)
		d := &gatewayFixture{t: t, ctx: ctx, state: state, gateway: New(settings, state, catalogue, func() (int, time.Duration) { return 0, 0 })}
		l := &Components{Peers: noPeers{}, RecoveryTimeline: recovery.NewTimeline(time.Now())}
		l.Mirror = statekv.NewMirror(state, []string{statekv.ClusterPrefix, job.RecordPrefix, job.SpecFragmentPrefix}, statekv.RootPrefix, time.Second, 0, func(events []statekv.Event) {
			for _, e := range events {
				l.Scheduler.OnJobEvent(e)
				d.gateway.OnTombstoneEvent(e)
			}
		})
		l.DependencyTracker = dag.NewTracker(l.Mirror, func(*job.Spec) time.Duration { return time.Second }, d.gateway.CachedTombstone)
		l.Mirror.OnApply = l.DependencyTracker.OnEvents
		if err := l.Mirror.Load(ctx); err != nil {
			t.Fatal(err)
		}
		var err error
		if l.Session, err = statekv.OpenSession(ctx, state, l.Mirror, "host-0", 4*time.Second, statekv.Registration{}); err != nil {
			t.Fatal(err)
		}
		l.ClusterVersion = rollout.NewVersionReader(l.Mirror)
		l.Scheduler = scheduler.New(settings, policy.Default(), state, l.Mirror, l.Session, noPeers{}, catalogue.Types, l.DependencyTracker)
		feed := changefeed.New(noPeers{}, l.Mirror, []string{"host-0"}, l.Scheduler.HighestEpoch, l.Scheduler.OnEntries)
		l.Feed = feed
		go l.Mirror.Run(ctx)
		go func() { _ = l.Session.KeepAlive(ctx) }()
		go l.Scheduler.Run(ctx, feed)
		go l.DependencyTracker.Run(ctx, d.gateway.ReadTombstone)
		d.gateway.SetComponents(l)
		d.components = l
		time.Sleep(2 * time.Second)
		tell(d)
	})
}

func (d *gatewayFixture) request(method, path, body string) (code int, answer map[string]any, again string) {
	d.t.Helper()
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := d.gateway.app.Test(req, -1)
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(raw, &answer) != nil {
		d.t.Fatalf("%s %s: %s %v", method, path, raw, err)
	}
	return resp.StatusCode, answer, resp.Header.Get("Retry-After")
}

// submit sends a job that waits for others and asserts the answer.
func (d *gatewayFixture) submit(code int, id string, names ...string) map[string]any {
	d.t.Helper()
	list, _ := json.Marshal(names)
	got, answer, again := d.request("POST", "/submissions", fmt.Sprintf(`{"id":%q,"job_class":"c","owner":"t","shape":"sweep","rank":"normal","pieces":1,"cpus":1,"gpus":0,"mem_gb":1,"bundle":"i","pull_gb":1,"host_kinds":null,"site":null,"one_zone":false,"spread":false,"loaners":true,"guess_s":5,"snapshot_every_s":0,"snapshot_s":0,"due_s":null,"waits_on":%s}`, id, list))
	if got != code || (code == 503) != (again != "") {
		d.t.Fatalf("%s after %.60s: %d %v, Retry-After %q", id, list, got, answer, again)
	}
	return answer
}

// expectStatus asserts what a user who asks is told.
func (d *gatewayFixture) expectStatus(id, status string) {
	d.t.Helper()
	if code, answer, _ := d.request("GET", "/submissions/"+id, ""); code != 200 || answer["status"] != status {
		d.t.Fatalf("%s: %d %v, not %s", id, code, answer, status)
	}
}

func (d *gatewayFixture) write(ops ...statekv.Op) {
	d.t.Helper()
	if _, err := d.state.Txn(d.ctx, nil, ops); err != nil {
		d.t.Fatal(err)
	}
}

// enableDependencies lets jobs wait for others.
func (d *gatewayFixture) enableDependencies() {
	d.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: rollout.ClusterVersion{Schema: 1, Number: 2, Features: []rollout.Feature{rollout.FeatureVersionGate, rollout.FeatureDependencies}}})
	time.Sleep(time.Second)
}

// Before all controllers know of it nobody is taken who waits for others, and the answer
// comes at once; those who do not are taken as ever, with an empty list too.
func TestDependenciesNeedClusterVersion(t *testing.T) {
	runWithGateway(t, func(d *gatewayFixture) {
		d.submit(201, "wk-1")
		d.submit(503, "wk-2", "wk-1")
		d.enableDependencies()
		d.submit(201, "wk-2", "wk-1")
		d.expectStatus("wk-2", job.Queued)
		// A person has asked for the way back: who waits is not taken any more.
		d.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: rollout.ClusterVersion{Schema: 1, Number: 2, Features: []rollout.Feature{rollout.FeatureVersionGate, rollout.FeatureDependencies}, Disabling: rollout.FeatureDependencies}})
		time.Sleep(time.Second)
		d.submit(503, "wk-3", "wk-1")
		d.submit(200, "wk-2", "wk-1")
	})
}

// The level goes back while a submission is on its way: it is not taken, or controllers
// that ignore its names could live beside it.
func TestSubmissionRacesVersionDowngrade(t *testing.T) {
	runWithGateway(t, func(d *gatewayFixture) {
		d.enableDependencies()
		d.submit(201, "wk-1")
		d.state.SetTxnLatency(300 * time.Millisecond)
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.submit(503, "wk-2", "wk-1")
		}()
		time.Sleep(100 * time.Millisecond)
		d.state.SetTxnLatency(0)
		d.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: rollout.ClusterVersion{Schema: 1, Number: 1, Features: []rollout.Feature{rollout.FeatureVersionGate}}})
		<-done
		if _, err := d.state.Get(d.ctx, job.RecordKey("wk-2")); err == nil {
			t.Error("it was taken")
		}
	})
}

// A name that was never accepted is refused, only when that is certain; any that was is
// taken, whatever has become of it, whoever accepted it and in whichever form.
func TestDependenciesMustHaveBeenAccepted(t *testing.T) {
	runWithGateway(t, func(d *gatewayFixture) {
		d.enableDependencies()
		d.submit(201, "wk-1")
		d.submit(422, "wk-2", "wk-2")
		d.submit(422, "wk-2", "wk-1", "wk-404")
		if code, _, _ := d.request("GET", "/submissions/wk-2", ""); code != 404 {
			t.Fatal("a job that was refused is known")
		}
		// Another controller has accepted it a moment ago; it ended long ago, in three forms.
		d.state.SetTxnLatency(0)
		d.write(statekv.Op{Set: job.RecordKey("wk-11"), Value: job.Record{Spec: job.Spec{ID: "wk-11", Tasks: 1}, JobShard: "host-9.1"}})
		d.write(statekv.Op{Set: tombstone.LegacyKey("wk-12"), Value: map[string]any{"status": "done", "tasks": 1}})
		d.write(tombstone.WriteOps("wk-13", tombstone.Tombstone{Status: job.Done, Tasks: 1}, tombstone.CompactOnly)...)
		d.write(tombstone.WriteOps("wk-14", tombstone.Tombstone{Status: job.Done, Tasks: 1}, tombstone.LegacyAndCompact)...)
		d.submit(201, "wk-3", "wk-11", "wk-12", "wk-13", "wk-14", "wk-1", "wk-1")
		d.write(statekv.Op{Set: job.RecordKey("wk-15"), Value: job.Record{Spec: job.Spec{ID: "wk-15", Tasks: 1, Shape: job.Service}, JobShard: "host-9.1"}})
		time.Sleep(time.Second)
		if answer := d.submit(422, "wk-4", "wk-15"); !strings.Contains(fmt.Sprint(answer["error"]), "service") {
			t.Error(answer)
		}
		// In doubt it is neither taken nor refused.
		d.state.SetOutage(true, false)
		d.submit(503, "wk-5", "wk-404")
		d.submit(503, "wk-5", "wk-1")
		d.state.SetOutage(false, false)
		// Hundreds of names, in pieces; and one among them that nobody submitted.
		var many []string
		for k := range 400 {
			many = append(many, fmt.Sprintf("wk-9%05d", k*211%100000))
			d.write(tombstone.WriteOps(many[k], tombstone.Tombstone{Status: job.Done, Tasks: 1}, []tombstone.Formats{tombstone.LegacyOnly, tombstone.CompactOnly}[k%2])...)
		}
		d.submit(201, "wk-6", many...)
		d.submit(200, "wk-6", many...)
		d.submit(422, "wk-7", append(many, "wk-404")...)
		if over := d.state.SizeViolations(); len(over) > 0 {
			t.Error(over)
		}
	})
}

// A repeated submission gets 200 with the state of then, whatever those before it are;
// what was accepted first stands.
func TestRepeatedSubmissions(t *testing.T) {
	runWithGateway(t, func(d *gatewayFixture) {
		d.enableDependencies()
		d.submit(201, "wk-1")
		d.submit(201, "wk-2", "wk-1")
		if a := d.submit(200, "wk-2", "wk-1"); a["status"] != job.Queued {
			t.Fatal(a)
		}
		d.submit(200, "wk-2") // it waits all the same
		d.expectStatus("wk-2", job.Queued)
		d.state.SetOutage(false, true) // its answer is lost, and its user tries again
		d.submit(200, "wk-3", "wk-2")
		d.state.SetOutage(false, false)
		d.request("POST", "/submissions/wk-1/abort", "")
		if a := d.submit(200, "wk-3", "wk-2"); a["status"] != job.Cancelled {
			t.Fatal(a)
		}
		if a := d.submit(201, "wk-4", "wk-3"); a["status"] != job.Queued {
			t.Fatal(a)
		}
		d.expectStatus("wk-4", job.Cancelled)
	})
}

// From the moment at which a user was told of a cancellation nobody is told that a job
// after it is queued, however long the chain, though nothing can be written; and an end
// in the same moment: one of both, and the chain goes by that one.
func TestStatusOfDependentsAfterCancellation(t *testing.T) {
	runWithGateway(t, func(d *gatewayFixture) {
		d.enableDependencies()
		d.submit(201, "wk-1")
		for k := 2; k <= 300; k++ {
			d.submit(201, fmt.Sprintf("wk-%d", k), fmt.Sprintf("wk-%d", k-1))
		}
		d.expectStatus("wk-300", job.Queued)
		if code, answer, _ := d.request("POST", "/submissions/wk-1/abort", ""); code != 200 || answer["status"] != job.Cancelled {
			t.Fatal(code, answer)
		}
		d.state.SetTxnLatency(time.Hour) // no write comes through from now on
		for k := 300; k > 0; k-- {
			d.expectStatus(fmt.Sprintf("wk-%d", k), job.Cancelled)
		}
	})
	runWithGateway(t, func(d *gatewayFixture) {
		d.enableDependencies()
		d.submit(201, "wk-1")
		d.submit(201, "wk-2", "wk-1")
		// Its placer's record comes first.
		kv, _ := d.state.Get(d.ctx, job.RecordKey("wk-1"))
		if _, err := d.state.Txn(d.ctx, []statekv.Compare{{Key: kv.Key, Rev: kv.Rev}}, append(tombstone.WriteOps("wk-1", tombstone.Tombstone{Status: job.Done, Tasks: 1}, tombstone.LegacyOnly), statekv.Op{Delete: kv.Key})); err != nil {
			t.Fatal(err)
		}
		if code, answer, _ := d.request("POST", "/submissions/wk-1/abort", ""); code != 200 || answer["status"] != job.Done {
			t.Fatal(code, answer)
		}
		d.expectStatus("wk-2", job.Queued)
	})
}

// A later life has to read what came before it: until then it answers nothing that may
// be too old, and then the truth.
func TestNewSessionNeverGivesOlderStatus(t *testing.T) {
	runWithGateway(t, func(d *gatewayFixture) {
		d.enableDependencies()
		d.write(tombstone.WriteOps("wk-1", tombstone.Tombstone{Status: job.Cancelled, Tasks: 1}, tombstone.LegacyOnly)...)
		for id, needs := range map[string]string{"wk-2": "wk-1", "wk-3": "wk-2"} { // another controller's
			d.write(statekv.Op{Set: job.RecordKey(id), Value: job.Record{Spec: job.Spec{ID: id, Tasks: 1, WaitsOn: []string{needs}}, JobShard: "host-9.1"}})
		}
		time.Sleep(time.Second)
		d.gateway.tombstones.mu.Lock()
		clear(d.gateway.tombstones.entries)
		d.gateway.tombstones.mu.Unlock()
		fresh := dag.NewTracker(d.components.Mirror, func(*job.Spec) time.Duration { return 0 }, d.gateway.CachedTombstone)
		fresh.OnEvents(nil)
		l := *d.components
		l.DependencyTracker = fresh
		d.gateway.SetComponents(&l)
		if code, answer, again := d.request("GET", "/submissions/wk-3", ""); code == 200 && answer["status"] == job.Queued || code != 200 && again == "" {
			t.Fatal(code, answer)
		}
		go fresh.Run(d.ctx, d.gateway.ReadTombstone)
		time.Sleep(time.Second)
		d.expectStatus("wk-3", job.Cancelled)
		d.expectStatus("wk-2", job.Cancelled)
	})
}

// A job whose neighbour is damaged is known all the same: guards against an answer of
// 503 for ever, after which it would count as forgotten.
func TestDamagedDependencyRecord(t *testing.T) {
	runWithGateway(t, func(d *gatewayFixture) {
		d.enableDependencies()
		d.write(statekv.Op{Set: tombstone.Key("wk-1"), Value: "mangled"})
		d.write(statekv.Op{Set: job.RecordKey("wk-2"), Value: "mangled"})
		time.Sleep(time.Second)
		d.submit(201, "wk-3", "wk-1")
		d.submit(201, "wk-4", "wk-2", "wk-3")
		time.Sleep(3 * time.Second)
		d.expectStatus("wk-2", job.Queued)
		d.expectStatus("wk-3", job.Queued)
		d.expectStatus("wk-4", job.Queued)
	})
}

// A controller that has lost the state service and all other controllers, and not its
// workers: users are answered at once with when to come back, and the load balancer is
// told to look elsewhere; what is known for ever is told all the same. Guards against a
// second and a half of waiting for each request, and against staying ready because no
// other controller said that it is served.
func TestIsolatedFromAllButWorkers(t *testing.T) {
	runWithGateway(t, func(d *gatewayFixture) {
		d.submit(201, "wk-1")
		d.write(tombstone.WriteOps("wk-2", tombstone.Tombstone{Status: job.Done, Tasks: 1}, tombstone.LegacyOnly)...)
		time.Sleep(time.Second)
		d.expectStatus("wk-2", job.Done)
		if code, _, _ := d.request("GET", "/ready", ""); code != 200 {
			t.Fatal(code)
		}
		d.state.SetOutage(true, false)
		time.Sleep(4 * time.Second)
		began := time.Now()
		d.submit(503, "wk-3")
		for _, path := range [][2]string{{"GET", "/submissions/wk-1"}, {"POST", "/submissions/wk-1/abort"}} {
			if code, answer, again := d.request(path[0], path[1], ""); code != 503 || again == "" {
				t.Errorf("%v: %d %v", path, code, answer)
			}
		}
		if code, _, _ := d.request("GET", "/ready", ""); code != 503 {
			t.Errorf("ready: %d", code)
		}
		d.expectStatus("wk-2", job.Done)
		if took := time.Since(began); took > 0 {
			t.Errorf("its users waited %v", took)
		}
		d.state.SetOutage(false, false)
		time.Sleep(2 * time.Second)
		d.expectStatus("wk-1", job.Queued)
		if code, _, _ := d.request("GET", "/ready", ""); code != 200 {
			t.Error("it is back, and not ready")
		}
	})
}

// The limits are lowered without notice while a job with keys beside its record is
// cancelled: its user asks again and is told; what does not fit one transaction is left
// for the steward's sweep, and nobody starts anything of it.
func TestCancellationAfterLimitsAreLowered(t *testing.T) {
	runWithGateway(t, func(d *gatewayFixture) {
		rec := job.Record{Spec: job.Spec{ID: "wk-1", Tasks: job.MaxTasks, Shape: job.Array}, JobShard: "host-9.1"}
		d.write(statekv.Op{Set: job.RecordKey("wk-1"), Value: rec})
		for _, key := range job.AuxiliaryKeys("wk-1", job.MaxTasks, 0) {
			d.write(statekv.Op{Set: key, Value: "x"})
		}
		time.Sleep(time.Second)
		d.state.SetSizeLimits(2048, 5)
		if code, answer, again := d.request("POST", "/submissions/wk-1/abort", ""); code != 503 || again == "" {
			t.Fatal(code, answer)
		}
		if code, answer, _ := d.request("POST", "/submissions/wk-1/abort", ""); code != 200 || answer["status"] != job.Cancelled {
			t.Fatal(code, answer)
		}
		d.expectStatus("wk-1", job.Cancelled)
		if left := len(d.state.ListAll(job.CompletedChunkPrefix)); left == 0 || left == job.ChunkCount(job.MaxTasks)-1 {
			t.Errorf("%d keys are left for the sweep", left)
		}
	})
}

// A question has found a job's open record, and before it asks what the job waits for, that
// is withdrawn and recorded: users may have been told so long before, from what its record
// names alone. The question looks once more, and must not be told that it is queued.
func TestTombstoneWrittenDuringLookup(t *testing.T) {
	runWithGateway(t, func(d *gatewayFixture) {
		d.enableDependencies()
		d.submit(201, "wk-1")
		d.submit(201, "wk-2", "wk-1")
		time.Sleep(time.Second)
		seen, ok := d.components.Mirror.Get(job.RecordKey("wk-2"))
		if !ok {
			d.t.Fatal("its record is not there")
		}
		gone := tombstone.Tombstone{Status: job.Cancelled, Tasks: 1}
		for _, id := range []string{"wk-1", "wk-2"} {
			d.write(append(tombstone.WriteOps(id, gone, tombstone.LegacyOnly), statekv.Op{Delete: job.RecordKey(id)})...)
		}
		time.Sleep(time.Second)
		if f, waits, err := d.gateway.dependencyState("wk-2", seen); !errors.Is(err, errFinishedMeanwhile) {
			d.t.Errorf("by the record seen before: %+v, waits %v, %v", f, waits, err)
		}
		d.expectStatus("wk-2", job.Cancelled)
	})
}
