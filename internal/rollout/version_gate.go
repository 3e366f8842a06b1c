package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/policy"
	"robinstack/internal/statekv"
)

const (
	// gateInterval is the time between two evaluations of the mirror, each of which reads a few
	// keys.
	gateInterval = 500 * time.Millisecond

	// versionWriteTimeout bounds a write of the version or of a rejection.
	versionWriteTimeout = 3 * time.Second

	// rejectAfter is how long controllers that are not leader wait before they reject an
	// incompatible controller. The leader rejects it at once, unless the leader is the incompatible
	// controller.
	rejectAfter = time.Second

	// rejectTimeout bounds all requests of one rejection together.
	rejectTimeout = 2 * time.Second

	// rejectionTTL is the time to live of a rejection's lease. It is longer than the rejected
	// session takes to see the rejection.
	rejectionTTL = 4 * time.Second

	// maxRejectedRemembered bounds the rejected sessions that are remembered. When there are more,
	// all are forgotten, which costs one more write for each session that still exists.
	maxRejectedRemembered = 1000
)

// VersionGate takes part in upgrades for one session of a controller. It observes which controllers
// are alive, rejects incompatible ones, raises the cluster version while its controller is leader,
// and ends its own session if this build does not support the version.
type VersionGate struct {
	host        string
	hosts       []string // from the settings
	policy      *policy.Policy
	mirror      *statekv.Mirror
	session     *statekv.Session
	store       statekv.Store
	leaderEpoch func() uint64
	reader      *VersionReader

	mu            sync.Mutex             // guards controllers, version, lastBlockedBy and rejected
	controllers   map[string]observation // by host
	version       observation            // its rev is the number of the version, not a revision
	lastBlockedBy string                 // why a raise was last blocked, up to the first digit of the reason
	rejected      map[uint64]bool        // by the revision of the rejected session key
}

// observation is the last observed state of a controller or of the version, and since when it has
// been unchanged.
type observation struct {
	rev   uint64
	alive bool
	since time.Time
}

// NewVersionGate returns the gate of a session. hosts are those in the settings. leaderEpoch
// returns the revision of the leader's key while this controller is leader, else 0.
func NewVersionGate(
	hosts []string, pol *policy.Policy, mirror *statekv.Mirror, session *statekv.Session, store statekv.Store,
	leaderEpoch func() uint64,
) *VersionGate {
	return &VersionGate{
		host:        session.Host,
		hosts:       hosts,
		policy:      pol,
		mirror:      mirror,
		session:     session,
		store:       store,
		leaderEpoch: leaderEpoch,
		reader:      NewVersionReader(mirror),
		controllers: map[string]observation{},
		rejected:    map[uint64]bool{},
	}
}

// Run evaluates the keys every gateInterval until ctx ends.
func (g *VersionGate) Run(ctx context.Context) {
	tick := time.NewTicker(gateInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		g.step(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// step evaluates the keys once: it ends the session, rejects controllers or changes the version
// where that is due.
func (g *VersionGate) step(ctx context.Context) {
	snapshot := g.snapshot(time.Now())
	if problem := g.reader.UnusableReason(); problem != "" && snapshot.VersionDecodeError == "" {
		g.session.Abort(fmt.Errorf("cluster version %d is not supported: %s", snapshot.Version.Number, problem))
		return
	}
	g.rejectIncompatible(ctx, snapshot)
	change, reason := snapshot.PlanRaise()
	g.logBlocked(reason)
	if change == nil || !g.session.HoldsLease() {
		return
	}
	if err := g.write(ctx, change.Compares, change.Ops); err != nil {
		slog.Info("cluster version raise failed", "cluster_version", change.To.Number, "err", err)
		return
	}
	slog.Info("cluster version changed", "cluster_version", change.To.Number, "features", change.To.Features)
}

// logBlocked logs why a raise is blocked when the reason changes. It compares reasons only up to
// their first digit, so that a reason is not logged again only because the time in it has passed.
func (g *VersionGate) logBlocked(reason string) {
	kind := reason
	if digit := strings.IndexAny(reason, "0123456789"); digit >= 0 {
		kind = reason[:digit]
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if kind != g.lastBlockedBy && reason != "" {
		slog.Debug("cluster version raise blocked", "reason", reason)
	}
	g.lastBlockedBy = kind
}

// write writes under this session's fence, within versionWriteTimeout.
func (g *VersionGate) write(ctx context.Context, compares []statekv.Compare, ops []statekv.Op) error {
	ctx, cancel := context.WithTimeout(ctx, versionWriteTimeout)
	defer cancel()
	_, err := g.session.Write(ctx, compares, ops)
	return err
}

// snapshot returns a snapshot of the mirror, with the ages that this gate has observed.
func (g *VersionGate) snapshot(now time.Time) Snapshot {
	known, _ := g.reader.Current()
	s := NewSnapshot(g.mirror, g.hosts, known)
	s.Self, s.LeaderEpoch = g.host, g.leaderEpoch()
	s.JobsNeeding = g.jobsNeeding
	s.SoakTime = g.policy.RolloutSoak
	s.AbsenceTimeout = g.policy.RolloutAbsenceTimeout
	s.HeldByPolicy = g.policy.RolloutHold
	g.observe(&s, now)
	return s
}

// observe compares a snapshot with the last observations and fills in its ages.
func (g *VersionGate) observe(s *Snapshot, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	controllers := map[string]observation{}
	for i := range s.Controllers {
		c := &s.Controllers[i]
		o, known := g.controllers[c.Host]
		if !known || o.alive != c.Alive || c.Alive && o.rev != c.Rev {
			o = observation{rev: c.Rev, alive: c.Alive, since: now}
		}
		controllers[c.Host] = o
		c.StateAge = now.Sub(o.since)
	}
	g.controllers = controllers // forgets controllers that the snapshot no longer contains
	if number := uint64(s.Version.Number); g.version.since.IsZero() || g.version.rev != number {
		g.version = observation{rev: number, since: now}
	}
	s.VersionAge = now.Sub(g.version.since)
}

// jobsNeeding lists the unfinished jobs that need a feature, according to the mirror.
func (g *VersionGate) jobsNeeding(feature Feature) []string {
	if feature != FeatureDependencies {
		return nil
	}
	var ids []string
	for _, kv := range g.mirror.Dir(job.RecordPrefix) {
		if job.MayHaveDependencies(kv.Value) {
			ids = append(ids, kv.Key[len(job.RecordPrefix):])
		}
	}
	return ids
}

// rejectIncompatible ends the sessions of the incompatible controllers in a snapshot.
func (g *VersionGate) rejectIncompatible(ctx context.Context, snapshot Snapshot) {
	for _, c := range snapshot.IncompatibleControllers() {
		leftToLeader := snapshot.LeaderEpoch == 0 && c.StateAge < rejectAfter
		if g.wasRejected(c.Rev) || c.Host == g.host || !g.session.HoldsLease() || leftToLeader {
			continue
		}
		if err := g.reject(ctx, snapshot, c); err != nil {
			slog.Debug("controller rejection failed", "host", c.Host, "err", err)
			continue
		}
		g.rememberRejected(c.Rev)
		slog.Warn("controller rejected", "host", c.Host, "build", c.Capabilities.Build,
			"cluster_version", snapshot.Version.Number, "missing_features", c.Capabilities.Missing(snapshot.Version))
	}
}

func (g *VersionGate) wasRejected(rev uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rejected[rev]
}

func (g *VersionGate) rememberRejected(rev uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.rejected) > maxRejectedRemembered {
		clear(g.rejected)
	}
	g.rejected[rev] = true
}

// reject ends the session of one controller.
func (g *VersionGate) reject(ctx context.Context, snapshot Snapshot, c Controller) error {
	ctx, cancel := context.WithTimeout(ctx, rejectTimeout)
	defer cancel()
	lease, err := g.store.Grant(ctx, rejectionTTL)
	if err != nil {
		return fmt.Errorf("granting the lease for the rejection of %s: %w", c.Host, err)
	}
	compares, ops := snapshot.PlanReject(c, lease)
	if err := g.write(ctx, compares, ops); err != nil {
		_ = g.store.Revoke(ctx, lease) // otherwise the lease expires by itself
		return fmt.Errorf("writing the rejection of %s: %w", c.Host, err)
	}
	return nil
}
