package rollout

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/policy"
	"robinstack/internal/statekv"
)

// VersionGate takes part in the fleet's roll-out for one life of a controller: it looks at
// who lives, refuses those that must not, raises the level when it is steward, and
// ends its own life where the level is not for this build.
type VersionGate struct {
	host    string
	hosts   []string // in the settings
	policy  *policy.Policy
	mirror  *statekv.Mirror
	member  *statekv.Session
	store   statekv.Store
	steward func() uint64
	reader  *VersionReader

	mu      sync.Mutex
	seen    map[string]sighting
	level   sighting
	told    string // what a rise waited for, as last logged
	refused map[uint64]bool
}

// sighting is since when something has been as it is.
type sighting struct {
	rev   uint64
	lives bool
	since time.Time
}

// NewVersionGate returns the gate of a life; steward tells the revision of the steward's role
// while this controller has it, else 0.
func NewVersionGate(hosts []string, pol *policy.Policy, mirror *statekv.Mirror, member *statekv.Session, store statekv.Store, steward func() uint64) *VersionGate {
	return &VersionGate{host: member.Host, hosts: hosts, policy: pol, mirror: mirror, member: member, store: store, steward: steward,
		reader: NewVersionReader(mirror), seen: map[string]sighting{}, refused: map[uint64]bool{}}
}

// every is how often the gate looks. A look reads a few keys of the mirror.
const every = 500 * time.Millisecond

// Run takes part until ctx ends.
func (g *VersionGate) Run(ctx context.Context) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for ctx.Err() == nil {
		g.step(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

func (g *VersionGate) step(ctx context.Context) {
	now := time.Now()
	v := g.look(now)
	if bad := g.reader.Problem(); bad != "" && v.VersionDecodeError == "" {
		g.member.Abort(fmt.Errorf("level %d is not for this build: %s", v.Version.Number, bad))
		return
	}
	g.refuse(ctx, v)
	change, why := v.PlanRaise()
	g.tell(why)
	if change == nil || !g.member.HoldsLease() {
		return
	}
	if err := g.write(ctx, change.Compares, change.Ops); err != nil {
		slog.Info("cluster version raise failed", "cluster_version", change.To.Number, "err", err)
		return
	}
	slog.Info("cluster version changed", "cluster_version", change.To.Number, "features", change.To.Features)
}

// tell logs what a rise waits for, when that becomes something else than time passing.
func (g *VersionGate) tell(why string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	kind := why
	if at := slices.IndexFunc([]byte(why), func(b byte) bool { return b >= '0' && b <= '9' }); at >= 0 {
		kind = why[:at]
	}
	if kind != g.told && why != "" {
		slog.Debug("cluster version raise blocked", "reason", why)
	}
	g.told = kind
}

func (g *VersionGate) write(ctx context.Context, when []statekv.Compare, then []statekv.Op) error {
	tctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	_, err := g.member.Write(tctx, when, then)
	return err
}

// look takes one look at the mirror.
func (g *VersionGate) look(now time.Time) Snapshot {
	known, _ := g.reader.Current()
	v := NewSnapshot(g.mirror, g.hosts, known)
	v.Self, v.LeaderEpoch = g.host, g.steward()
	v.JobsNeeding = g.uses
	v.SoakTime, v.AbsenceTimeout, v.HeldByPolicy = g.policy.RolloutSoak, g.policy.RolloutAbsenceTimeout, g.policy.RolloutHold
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := map[string]sighting{}
	for k := range v.Controllers {
		n := &v.Controllers[k]
		s, ok := g.seen[n.Host]
		if !ok || s.lives != n.Alive || n.Alive && s.rev != n.Rev {
			s = sighting{n.Rev, n.Alive, now}
		}
		kept[n.Host] = s
		n.StateAge = now.Sub(s.since)
	}
	g.seen = kept // those removed from the settings are forgotten
	if n := uint64(v.Version.Number); g.level.since.IsZero() || g.level.rev != n {
		g.level = sighting{rev: n, since: now}
	}
	v.VersionAge = now.Sub(g.level.since)
	return v
}

// uses lists the unfinished jobs that need a feature, as last seen.
func (g *VersionGate) uses(f Feature) []string {
	var out []string
	if f != FeatureDependencies {
		return out
	}
	for _, kv := range g.mirror.Dir(job.RecordPrefix) {
		if job.MayHaveDependencies(kv.Value) {
			out = append(out, kv.Key[len(job.RecordPrefix):])
		}
	}
	return out
}

// refuseAfter is how long controllers that are not steward leave an intruder to the
// steward, which may be the intruder.
const refuseAfter = time.Second

// refusalTTL is how long a refusal stands: longer than the refused life takes to see it.
const refusalTTL = 4 * time.Second

func (g *VersionGate) refuse(ctx context.Context, v Snapshot) {
	for _, n := range v.IncompatibleControllers() {
		g.mu.Lock()
		done := g.refused[n.Rev]
		g.mu.Unlock()
		if done || n.Host == g.host || !g.member.HoldsLease() || v.LeaderEpoch == 0 && n.StateAge < refuseAfter {
			continue
		}
		err := g.end(ctx, v, n)
		if err != nil {
			slog.Debug("controller rejection failed", "host", n.Host, "err", err)
			continue
		}
		g.mu.Lock()
		if len(g.refused) > 1000 {
			clear(g.refused)
		}
		g.refused[n.Rev] = true
		g.mu.Unlock()
		slog.Warn("controller rejected", "host", n.Host, "build", n.Capabilities.Build, "cluster_version", v.Version.Number, "missing_features", n.Capabilities.Missing(v.Version))
	}
}

func (g *VersionGate) end(ctx context.Context, v Snapshot, n Controller) error {
	tctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	lease, err := g.store.Grant(tctx, refusalTTL)
	if err != nil {
		return err
	}
	when, then := v.PlanReject(n, lease)
	if err := g.write(tctx, when, then); err != nil {
		_ = g.store.Revoke(tctx, lease)
		return err
	}
	return nil
}

// BlockedError is an error that says why a command of a person cannot be carried out now.
type BlockedError struct{ Reason string }

func (s *BlockedError) Error() string { return s.Reason }

// Verbs of persons.
const (
	CommandHold  = "hold"
	CommandRaise = "raise"
	CommandLower = "lower"
)

// Execute carries out the command of a person; f is the feature that lowering takes off, or
// "" for the one that came on last. A *Stuck says what stands in its way; any
// other error leaves open whether it was carried out, which the status shows.
func (g *VersionGate) Execute(ctx context.Context, verb string, f Feature, why string) error {
	if why == "" {
		why = "by a person"
	}
	var err error
	for range 5 {
		if err = g.mirror.ReadIndex(ctx); err != nil {
			return fmt.Errorf("reading the fleet's level: %w", err)
		}
		v := g.look(time.Now())
		v.LeaderEpoch = 0 // what a person asks for needs no steward
		var change *VersionChange
		var stuck string
		switch verb {
		case CommandHold:
			change, stuck = v.PlanHold(why)
		case CommandRaise:
			change, stuck = v.PlanAllowRaise()
		case CommandLower:
			change, stuck = v.PlanLower(f, "lowered: "+why)
		default:
			stuck = fmt.Sprintf("%q is none of hold, raise, lower", verb)
		}
		if change == nil {
			return &BlockedError{stuck}
		}
		if err = g.write(ctx, change.Compares, change.Ops); err == nil {
			slog.Info("rollout command applied", "command", verb, "cluster_version", change.To.Number, "reason", why)
			return nil
		}
		if !statekv.IsConflict(err) {
			break
		}
		// Something else changed the level, or a life began or ended: look again.
	}
	if errors.Is(err, statekv.ErrRejected) {
		return &BlockedError{err.Error()}
	}
	return fmt.Errorf("writing the fleet's level: %w", err)
}
