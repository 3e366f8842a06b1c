// Package gateway is what users, workers and operators reach over HTTP.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/segmentio/encoding/json"

	"robinstack/internal/autoscaler"
	"robinstack/internal/changefeed"
	"robinstack/internal/cloud"
	"robinstack/internal/clusteragent"
	"robinstack/internal/config"
	"robinstack/internal/dag"
	"robinstack/internal/job"
	"robinstack/internal/logline"
	"robinstack/internal/peer"
	"robinstack/internal/recovery"
	"robinstack/internal/rollout"
	"robinstack/internal/scheduler"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
	"robinstack/internal/worker"
)

// Components is the parts of the controller that end with its state lease.
type Components struct {
	Session           *statekv.Session
	Mirror            *statekv.Mirror
	Agent             *clusteragent.Agent
	Scheduler         *scheduler.Scheduler
	Leader            *autoscaler.Leader
	Feed              *changefeed.Feed
	VersionGate       *rollout.VersionGate
	ClusterVersion    *rollout.VersionReader
	DependencyTracker *dag.Tracker
	Peers             peer.Caller
	RecoveryTimeline  *recovery.Timeline
	PeerTraffic       func() peer.Traffic // with other controllers; nil: nobody counts it
}

// notifyMachineOwners lets owners of machines know of a cancellation, of a revision or 0, that a user
// is about to be told: this controller's own agent at once, the others within a short
// time or not at all. Their watches would show it a tenth of a second later, and by then
// tasks that were fetching their images may have begun.
func (l *Components) notifyMachineOwners(ctx context.Context, id string, rev uint64) {
	if l.Agent == nil {
		return
	}
	l.Agent.NoteAcknowledgement(rev)
	l.Agent.StopCancelledJob(id)
	ctx, cancel := context.WithTimeout(ctx, ownerNotificationTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, host := range l.Session.AliveHosts() {
		if host != l.Session.Host {
			calls.Go(func() {
				if err := l.Peers.Call(ctx, host, "Agent.Cancelled", id, &struct{}{}); err != nil {
					slog.Debug("cancellation delivery to machine owner failed", "host", host, "job", id, "err", err)
				}
			})
		}
	}
	calls.Wait()
}

// ownerNotificationTimeout is how long a user who cancels may wait for owners to hear of it.
const ownerNotificationTimeout = 100 * time.Millisecond

// Gateway answers HTTP requests.
type Gateway struct {
	settings       *config.Settings
	store          statekv.Store
	catalogue      *cloud.Catalogue
	components     atomic.Pointer[Components]
	notReadyReason atomic.Pointer[string] // why there is none
	app            *fiber.App
	latencies      *latencyRecorder
	processPauses  func() (count int, longest time.Duration)

	admission       admissionQueue
	tombstoneLookup *tombstone.BatchedLookup
	rejectedQueries atomic.Int64 // queries refused because too many came
	mu              sync.Mutex
	tombstones      map[string]tombstone.Tombstone // answers that never change any more
}

// maxTombstones bounds the cache of final answers.
const maxTombstones = 20_000

// maxQueriesInFlight bounds the queries that are answered at the same time; those that
// wait for the state service share one request, so many are cheap.
const maxQueriesInFlight = 400

const maxBodyBytes = 64 << 10

// New returns a gateway that has no life to serve yet.
func New(settings *config.Settings, store statekv.Store, catalogue *cloud.Catalogue, pauses func() (int, time.Duration)) *Gateway {
	g := &Gateway{settings: settings, store: store, catalogue: catalogue, latencies: newLatencyRecorder(), processPauses: pauses, tombstones: map[string]tombstone.Tombstone{},
		tombstoneLookup: tombstone.NewBatchedLookup(store, 4*settings.StateLimits.MaxTxnOps, statekv.LookupShare*settings.StateLimits.RequestsPerSecond/float64(max(1, settings.Controllers)))}
	g.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		JSONEncoder:           json.Marshal,
		JSONDecoder:           json.Unmarshal,
		BodyLimit:             maxBodyBytes,
		Immutable:             true,
		IdleTimeout:           2 * time.Minute,
		ReadTimeout:           2 * time.Minute,
		WriteTimeout:          10 * time.Second,
		Concurrency:           max(64, settings.MaxConnections*3/4),
		Network:               fiber.NetworkTCP4,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			code := fiber.StatusInternalServerError
			var fe *fiber.Error
			if errors.As(err, &fe) {
				code = fe.Code
			}
			return respondError(c, code, err.Error())
		},
	})
	g.app.Post("/v1/report", g.latencies.timed("report", g.heartbeat))
	g.app.Get("/ready", g.ready)
	g.app.Post("/submissions", g.latencies.timed("submission", g.submit))
	g.app.Get("/submissions/:id", g.latencies.timed("query", g.query))
	g.app.Post("/submissions/:id/abort", g.latencies.timed("cancellation", g.cancel))
	g.app.Get("/status.json", g.status)
	g.app.Get("/rollout.json", g.rolloutStatus)
	g.app.Post("/rollout/:verb", g.executeRolloutCommand)
	return g
}

// Serve answers on ln until ctx ends.
func (g *Gateway) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = g.app.ShutdownWithTimeout(time.Second) })
	defer stop()
	return g.app.Listener(ln)
}

// HandleRequest answers one request without a network.
func (g *Gateway) HandleRequest(r *http.Request) (*http.Response, error) { return g.app.Test(r, -1) }

// SetComponents says which life to serve; nil between lives.
func (g *Gateway) SetComponents(l *Components) { g.components.Store(l) }

func respondError(c *fiber.Ctx, code int, reason string) error {
	return c.Status(code).JSON(fiber.Map{"error": reason})
}

// respondRetryLater tells the client at once that this cannot be decided now, and when to
// come back.
func respondRetryLater(c *fiber.Ctx, reason string) error {
	c.Set(fiber.HeaderRetryAfter, "1")
	return respondError(c, fiber.StatusServiceUnavailable, reason)
}

// respondTryAnother is later for what another controller may take sooner: the connection is closed, so
// that the load balancer chooses anew, and by the number of connections, where the user's next
// try goes. Users that came while few controllers were ready stayed with those.
func respondTryAnother(c *fiber.Ctx, reason string) error {
	c.Context().SetConnectionClose()
	return respondRetryLater(c, reason)
}

func (g *Gateway) heartbeat(c *fiber.Ctx) error {
	var r worker.Heartbeat
	if err := json.Unmarshal(c.Body(), &r); err != nil || r.Machine == "" || r.Address == "" {
		return respondError(c, fiber.StatusBadRequest, "malformed report")
	}
	l := g.components.Load()
	if l == nil {
		return respondRetryLater(c, "starting")
	}
	reply := l.Agent.Heartbeat(c.Context(), &r)
	switch {
	case reply.Malformed != "":
		return respondError(c, fiber.StatusBadRequest, reply.Malformed)
	case reply.Owner:
		if reply.Answer.Commands == nil {
			reply.Answer.Commands = []worker.Command{}
		}
		return c.JSON(reply.Answer)
	case reply.RedirectTo != "":
		return c.Status(fiber.StatusMisdirectedRequest).JSON(fiber.Map{"home": reply.RedirectTo})
	}
	return respondRetryLater(c, "not the owner of this machine")
}

// isolatedFromStateService reports whether this life does not reach the state service: what users ask it
// then is answered at once with when to come back, for it would wait for nothing. Alone,
// a renewal or a watch may be late.
func (l *Components) isolatedFromStateService(now time.Time) bool {
	return !l.Session.HoldsLease() && now.Sub(l.Mirror.FreshAsOf()) > maxMirrorAge
}

// maxMirrorAge is how old the mirror is when watches have plainly stopped to come back:
// they wait for a second at most.
const maxMirrorAge = 2500 * time.Millisecond

// ready says no while starting, and when this controller alone has lost the
// state service, or all other controllers with it: then it is rather this one that is
// cut off, with its workers or without. In an outage that others see too, being taken out
// would only lose the requests that need no state service, and seconds afterwards.
func (g *Gateway) ready(c *fiber.Ctx) error {
	l := g.components.Load()
	if l == nil || len(g.catalogue.Types()) == 0 {
		return respondError(c, fiber.StatusServiceUnavailable, g.startupReason())
	}
	if _, _, ok := l.Scheduler.OwnJobShard(); !ok {
		return respondError(c, fiber.StatusServiceUnavailable, "starting")
	}
	if !l.Session.HoldsLease() {
		if heard, served := l.Feed.PeerCounts(g.settings.Host); served > 0 || heard == 0 && len(g.settings.Peers) > 0 {
			return respondError(c, fiber.StatusServiceUnavailable, "cut off from the state service")
		}
	}
	l.RecoveryTimeline.Record(recovery.StepReady)
	return c.JSON(fiber.Map{"status": "ready"})
}

type jobStatus struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// CachedTombstone returns the record of a job that is over, if it was read here lately.
func (g *Gateway) CachedTombstone(id string) (tombstone.Tombstone, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f, ok := g.tombstones[id]
	return f, ok
}

func (g *Gateway) cacheTombstone(id string, f tombstone.Tombstone) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for old := range g.tombstones {
		if len(g.tombstones) < maxTombstones {
			break
		}
		delete(g.tombstones, old)
	}
	g.tombstones[id] = f
}

func finalStatus(id string, f tombstone.Tombstone) jobStatus {
	s := jobStatus{ID: id, Status: f.Status}
	if f.Status == job.Done {
		s.Done = f.Tasks
	}
	return s
}

// OnTombstoneEvent keeps the answer for a job that is over, if an event is the writing of its
// tombstone.
func (g *Gateway) OnTombstoneEvent(e statekv.Event) {
	c, ok := tombstone.ChangeOf(e)
	switch {
	case !ok:
	case c.Err != nil:
		slog.Error("stored value undecodable, kept unchanged", "key", e.Set, "err", c.Err)
	default:
		g.cacheTombstone(c.ID, c.Tombstone)
	}
}

// ReadTombstone reads the record of a job that is over. Only a controller whose life goes
// on can tell that there is none: see ended.Read.
func (g *Gateway) ReadTombstone(ctx context.Context, id string) (tombstone.Tombstone, error) {
	l := g.components.Load()
	if l == nil {
		return tombstone.Tombstone{}, fmt.Errorf("%w: starting", statekv.ErrRejected)
	}
	return tombstone.Read(ctx, g.store, []statekv.Compare{l.Session.Fence()}, id)
}

// sessionFence is the condition of this controller's life, if it has one.
func (g *Gateway) sessionFence() (statekv.Compare, bool) {
	l := g.components.Load()
	if l == nil {
		return statekv.Compare{}, false
	}
	return l.Session.Fence(), true
}

// openRecord returns the record of an open job as of now, so that no answer is
// older than one that any controller has given.
func (g *Gateway) openRecord(ctx context.Context, id string) (statekv.KV, error) {
	l := g.components.Load()
	if l == nil {
		return g.store.Get(ctx, job.RecordKey(id))
	}
	if err := l.Mirror.ReadIndex(ctx); err != nil {
		return statekv.KV{}, err
	}
	kv, ok := l.Mirror.Get(job.RecordKey(id))
	if !ok {
		return kv, statekv.ErrNotFound
	}
	return kv, nil
}

// lookup finds a job's status.
func (g *Gateway) lookup(ctx context.Context, id string) (s jobStatus, err error) {
	for range 3 {
		if s, err = g.tryLookup(ctx, id); !errors.Is(err, errFinishedMeanwhile) {
			break
		}
	}
	return s, err
}

func (g *Gateway) tryLookup(ctx context.Context, id string) (jobStatus, error) {
	if f, ok := g.CachedTombstone(id); ok {
		return finalStatus(id, f), nil
	}
	kv, err := g.openRecord(ctx, id)
	if errors.Is(err, statekv.ErrNotFound) {
		if f, ok := g.CachedTombstone(id); ok {
			return finalStatus(id, f), nil
		}
		f, err := g.tombstoneLookup.Lookup(ctx, g.sessionFence, id, g.cacheTombstone)
		if err != nil {
			return jobStatus{}, err
		}
		return finalStatus(id, f), nil
	}
	if err != nil {
		return jobStatus{}, err
	}
	if f, waits, err := g.dependencyState(id, kv); err != nil {
		return jobStatus{}, err
	} else if f.Status != "" {
		g.cacheTombstone(id, f)
		return finalStatus(id, f), nil
	} else if waits {
		return jobStatus{ID: id, Status: job.Queued}, nil
	}
	s := jobStatus{ID: id, Status: job.Queued}
	s.Done, s.Running = g.taskCounts(ctx, id, kv)
	if s.Running > 0 {
		s.Status = job.Running
	}
	return s, nil
}

// taskCounts asks the job's placer for the numbers on display.
func (g *Gateway) taskCounts(ctx context.Context, id string, open statekv.KV) (done, running int) {
	l := g.components.Load()
	if l == nil {
		return 0, 0
	}
	if done, running, ok := l.Scheduler.Counts(id); ok {
		return done, running
	}
	rec, err := job.ParseRecord(open.Value)
	if err != nil {
		l.Mirror.ReportUndecodable(open.Key, err)
		return 0, 0
	}
	kv, ok := l.Mirror.Get(statekv.JobShardPrefix + rec.JobShard)
	h, err := statekv.HolderOf(kv)
	if !ok || err != nil || h.Host == g.settings.Host || !l.Session.Alive(h) {
		return 0, 0
	}
	cctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	var reply scheduler.CountsReply
	if err := l.Peers.Call(cctx, h.Host, "Placer.Counts", id, &reply); err != nil {
		return 0, 0
	}
	return reply.Done, reply.Running
}

// errFinishedMeanwhile says that a job is over since its open record was looked at.
var errFinishedMeanwhile = fmt.Errorf("%w: the job is over since its record was read", statekv.ErrRejected)

// dependencyState tells whether an open job waits for others, or which answer it has for good
// because one before it was cancelled: nothing need be written for that to be so.
func (g *Gateway) dependencyState(id string, open statekv.KV) (f tombstone.Tombstone, waits bool, err error) {
	if !job.MayHaveDependencies(open.Value) {
		return f, false, nil
	}
	l := g.components.Load()
	if l == nil {
		return f, false, fmt.Errorf("%w: starting", statekv.ErrRejected)
	}
	v, ok := l.DependencyTracker.Evaluate(id)
	if !ok {
		if _, still := l.Mirror.Get(open.Key); !still {
			// It is over since its record was looked at, and may have been told as
			// withdrawn long before that: then queued would be an older answer.
			return f, false, errFinishedMeanwhile
		}
		return f, false, nil // it cannot be read, or came a moment ago
	}
	switch {
	case v.State == dag.Cancelled:
		rec, err := job.ParseRecord(open.Value)
		if err != nil {
			return f, false, err
		}
		return tombstone.Tombstone{Status: job.Cancelled, Tasks: rec.Spec.Tasks}, true, nil
	case len(v.MissingTombstones) > 0:
		// One of them may have been cancelled long ago.
		return f, true, fmt.Errorf("%w: the records of jobs before it are being read", statekv.ErrRejected)
	}
	return f, v.State != dag.Ready, nil
}

func (g *Gateway) submit(c *fiber.Ctx) error {
	spec, err := job.ParseSpec(c.Body())
	if err != nil {
		return respondError(c, fiber.StatusBadRequest, err.Error())
	}
	types := g.catalogue.Types()
	l := g.components.Load()
	if l == nil || len(types) == 0 {
		return respondRetryLater(c, "starting")
	}
	ctx, cancel := context.WithTimeout(c.Context(), 3500*time.Millisecond)
	defer cancel()
	if f, ok := g.CachedTombstone(spec.ID); ok {
		return c.JSON(finalStatus(spec.ID, f))
	}
	if l.isolatedFromStateService(time.Now()) {
		return respondRetryLater(c, "cut off from the state service")
	}
	if _, open := l.Mirror.Get(job.RecordKey(spec.ID)); open {
		// A transaction whose conditions fail counts against the limit of changes: none
		// is needed to tell that a job is known.
		return g.respondKnown(c, ctx, spec.ID)
	}
	if reason := spec.UnschedulableReason(types, g.settings.Teams); reason != "" {
		return g.rejectUnlessKnown(c, ctx, spec.ID, fiber.StatusUnprocessableEntity, reason)
	}
	slot, epoch, ok := l.Scheduler.OwnJobShard()
	if !ok {
		return respondRetryLater(c, "starting")
	}
	rec := &job.Record{Spec: *spec, JobShard: slot, SubmittedMS: time.Now().UnixMilli()}
	when := append(tombstone.AbsentCompares(spec.ID), statekv.Compare{Key: job.RecordKey(spec.ID)}, statekv.Compare{Key: statekv.JobShardPrefix + slot, Rev: epoch})
	var then []statekv.Op
	if large := rec.ExceedsLimit(g.settings.StateLimits.MaxValueBytes); large || len(spec.WaitsOn) > 0 {
		// Whoever does not know of these would start it at once, or not read it: none
		// may live while such a record exists.
		level, unchanged := l.ClusterVersion.Current()
		if !level.Accepts(rollout.FeatureDependencies) {
			return respondRetryLater(c, "not all controllers know jobs that wait for others yet")
		}
		when = append(when, unchanged)
		if large {
			if then, err = rec.SplitSpec(g.settings.StateLimits.MaxValueBytes, g.settings.StateLimits.MaxTxnOps-1); err != nil {
				return g.rejectUnlessKnown(c, ctx, spec.ID, fiber.StatusBadRequest, "waits_on or host_kinds: "+err.Error())
			}
		}
	}
	if reason, err := g.dependencyRejection(ctx, l, spec); err != nil {
		slog.Debug("submission outcome unknown", "job", spec.ID, "err", err)
		return respondRetryLater(c, "undecided")
	} else if reason != "" {
		return g.rejectUnlessKnown(c, ctx, spec.ID, fiber.StatusUnprocessableEntity, reason)
	}
	rev, err := writeIdempotent(ctx, l.Session, when, append(then, statekv.Op{Set: job.RecordKey(spec.ID), Value: rec}))
	if err == nil {
		l.Scheduler.OnJobAccepted(rec, rev)
		l.RecoveryTimeline.Record(recovery.StepSubmissionAccepted)
		slog.Info(logline.JobAccepted, "job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks, "gpus", spec.GPUs, "deadline_s", spec.RelativeDeadline().Seconds(), "job_shard", slot, "dependencies", len(spec.WaitsOn))
		return c.Status(fiber.StatusCreated).JSON(jobStatus{ID: spec.ID, Status: job.Queued})
	}
	if errors.Is(err, statekv.ErrRejected) {
		return respondTryAnother(c, "the state service does not take it now")
	}
	// A conflict means that the job is known, or that this controller's role
	// has ended; without an answer the job may have been written.
	return g.respondKnown(c, ctx, spec.ID)
}

// rejectUnlessKnown answers a submission that would be refused were it new. What it is held against,
// types of machines, teams and limits, may have changed since the job was accepted, and a
// known job is never refused.
func (g *Gateway) rejectUnlessKnown(c *fiber.Ctx, ctx context.Context, id string, code int, reason string) error {
	s, err := g.lookup(ctx, id)
	switch {
	case errors.Is(err, statekv.ErrNotFound):
		return respondError(c, code, reason)
	case err != nil:
		slog.Debug("submission outcome unknown", "job", id, "err", err)
		return respondRetryLater(c, "undecided")
	}
	return c.JSON(s)
}

// respondKnown answers a submission of a job that is known already.
func (g *Gateway) respondKnown(c *fiber.Ctx, ctx context.Context, id string) error {
	s, err := g.lookup(ctx, id)
	if err != nil {
		slog.Debug("submission outcome unknown", "job", id, "err", err)
		return respondRetryLater(c, "undecided")
	}
	return c.JSON(s)
}

func (g *Gateway) query(c *fiber.Ctx) error {
	id := c.Params("id")
	if !job.ValidID(id) {
		return respondError(c, fiber.StatusNotFound, "no such job")
	}
	if f, ok := g.CachedTombstone(id); ok {
		return c.JSON(finalStatus(id, f))
	}
	// Beyond what can be answered in time, queries are refused at once:
	// submissions, cancellations and reports need the processor more.
	if l := g.components.Load(); l != nil && l.isolatedFromStateService(time.Now()) {
		return respondRetryLater(c, "cut off from the state service")
	}
	turn, ok := g.admission.admit(id, time.Now())
	if !ok {
		g.rejectedQueries.Add(1)
		return respondRetryLater(c, "too many questions at the moment")
	}
	answered := false
	defer func() { g.admission.release(turn, answered, time.Now()) }()
	ctx, cancel := context.WithTimeout(c.Context(), 1700*time.Millisecond)
	defer cancel()
	s, err := g.lookup(ctx, id)
	switch answered = err == nil || errors.Is(err, statekv.ErrNotFound); {
	case errors.Is(err, statekv.ErrNotFound):
		return respondError(c, fiber.StatusNotFound, "no such job")
	case err != nil:
		slog.Debug("job query outcome unknown", "job", id, "err", err)
		return respondRetryLater(c, "cannot be read now")
	}
	return c.JSON(s)
}

func (g *Gateway) cancel(c *fiber.Ctx) error {
	id := c.Params("id")
	if !job.ValidID(id) {
		return respondError(c, fiber.StatusNotFound, "no such job")
	}
	ctx, cancel := context.WithTimeout(c.Context(), 3500*time.Millisecond)
	defer cancel()
	began := time.Now()
	answer := func(f tombstone.Tombstone) error {
		g.cacheTombstone(id, f)
		return c.JSON(fiber.Map{"id": id, "status": f.Status})
	}
	for range 4 {
		if f, ok := g.CachedTombstone(id); ok {
			return answer(f)
		}
		l := g.components.Load()
		if l == nil {
			return respondRetryLater(c, "starting")
		}
		if l.isolatedFromStateService(time.Now()) {
			return respondRetryLater(c, "cut off from the state service")
		}
		kv, err := g.openRecord(ctx, id)
		if errors.Is(err, statekv.ErrNotFound) {
			f, err := g.ReadTombstone(ctx, id)
			if errors.Is(err, statekv.ErrNotFound) {
				return respondError(c, fiber.StatusNotFound, "no such job")
			}
			if err != nil {
				break
			}
			if f.Status == job.Cancelled {
				l.notifyMachineOwners(ctx, id, 0) // it may have been an earlier copy of ours
			}
			return answer(f)
		}
		if err != nil {
			break
		}
		rec, err := job.ParseRecord(kv.Value)
		if err != nil {
			// Whoever can read it can cancel it.
			l.Mirror.ReportUndecodable(kv.Key, err)
			break
		}
		f := tombstone.Tombstone{Status: job.Cancelled, Tasks: rec.Spec.Tasks}
		level, unchanged := l.ClusterVersion.Current()
		then := append([]statekv.Op{{Delete: job.RecordKey(id)}}, tombstone.WriteOps(id, f, level.TombstoneFormats())...)
		then = append(then, job.DeleteAuxiliaryOps(id, rec.Spec.Tasks, rec.SpecFragments, g.store.MaxTxnOps(g.settings.StateLimits.MaxTxnOps)-len(then))...)
		rev, err := writeIdempotent(ctx, l.Session, []statekv.Compare{{Key: job.RecordKey(id), Rev: kv.Rev}, unchanged}, then)
		if err == nil {
			l.notifyMachineOwners(ctx, id, rev)
			slog.Info("cancellation acknowledged", "job", id, "latency_ms", time.Since(began).Milliseconds())
			return answer(f)
		}
		if !statekv.IsConflict(err) && !errors.Is(err, statekv.ErrOutcomeUnknown) {
			break
		}
	}
	return respondRetryLater(c, "undecided")
}
