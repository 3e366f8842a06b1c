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

// Gate takes part in the fleet's roll-out for one life of a controller: it looks at
// who lives, refuses those that must not, raises the level when it is steward, and
// ends its own life where the level is not for this build.
type Gate struct {
	host    string
	hosts   []string // in the settings
	policy  *policy.Policy
	mirror  *statekv.Mirror
	member  *statekv.Session
	store   statekv.Store
	steward func() uint64
	reader  *Reader

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

// NewGate returns the gate of a life; steward tells the revision of the steward's role
// while this controller has it, else 0.
func NewGate(hosts []string, pol *policy.Policy, mirror *statekv.Mirror, member *statekv.Session, store statekv.Store, steward func() uint64) *Gate {
	return &Gate{host: member.Host, hosts: hosts, policy: pol, mirror: mirror, member: member, store: store, steward: steward,
		reader: NewReader(mirror), seen: map[string]sighting{}, refused: map[uint64]bool{}}
}

// every is how often the gate looks. A look reads a few keys of the mirror.
const every = 500 * time.Millisecond

// Run takes part until ctx ends.
func (g *Gate) Run(ctx context.Context) {
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

func (g *Gate) step(ctx context.Context) {
	now := time.Now()
	v := g.look(now)
	if bad := g.reader.Bad(); bad != "" && v.LevelBad == "" {
		g.member.Abort(fmt.Errorf("level %d is not for this build: %s", v.Level.N, bad))
		return
	}
	g.refuse(ctx, v)
	change, why := v.Rise()
	g.tell(why)
	if change == nil || !g.member.HoldsLease() {
		return
	}
	if err := g.write(ctx, change.When, change.Then); err != nil {
		slog.Info("cluster version raise failed", "cluster_version", change.To.N, "err", err)
		return
	}
	slog.Info("cluster version changed", "cluster_version", change.To.N, "features", change.To.Features)
}

// tell logs what a rise waits for, when that becomes something else than time passing.
func (g *Gate) tell(why string) {
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

func (g *Gate) write(ctx context.Context, when []statekv.Compare, then []statekv.Op) error {
	tctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	_, err := g.member.Write(tctx, when, then)
	return err
}

// look takes one look at the mirror.
func (g *Gate) look(now time.Time) View {
	known, _ := g.reader.Now()
	v := Look(g.mirror, g.hosts, known)
	v.Self, v.Steward = g.host, g.steward()
	v.Uses = g.uses
	v.Soak, v.Absent, v.Held = g.policy.RolloutSoak, g.policy.RolloutAbsenceTimeout, g.policy.RolloutHold
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := map[string]sighting{}
	for k := range v.Nodes {
		n := &v.Nodes[k]
		s, ok := g.seen[n.Host]
		if !ok || s.lives != n.Lives || n.Lives && s.rev != n.Rev {
			s = sighting{n.Rev, n.Lives, now}
		}
		kept[n.Host] = s
		n.For = now.Sub(s.since)
	}
	g.seen = kept // those removed from the settings are forgotten
	if n := uint64(v.Level.N); g.level.since.IsZero() || g.level.rev != n {
		g.level = sighting{rev: n, since: now}
	}
	v.Stood = now.Sub(g.level.since)
	return v
}

// uses lists the unfinished jobs that need a feature, as last seen.
func (g *Gate) uses(f Feature) []string {
	var out []string
	if f != Pipelines {
		return out
	}
	for _, kv := range g.mirror.Dir(job.OpenPrefix) {
		if job.NeedsPipelines(kv.Value) {
			out = append(out, kv.Key[len(job.OpenPrefix):])
		}
	}
	return out
}

// refuseAfter is how long controllers that are not steward leave an intruder to the
// steward, which may be the intruder.
const refuseAfter = time.Second

// refusalTTL is how long a refusal stands: longer than the refused life takes to see it.
const refusalTTL = 4 * time.Second

func (g *Gate) refuse(ctx context.Context, v View) {
	for _, n := range v.Intruders() {
		g.mu.Lock()
		done := g.refused[n.Rev]
		g.mu.Unlock()
		if done || n.Host == g.host || !g.member.HoldsLease() || v.Steward == 0 && n.For < refuseAfter {
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
		slog.Warn("controller rejected", "host", n.Host, "build", n.Caps.Build, "cluster_version", v.Level.N, "missing_features", n.Caps.Lacks(v.Level))
	}
}

func (g *Gate) end(ctx context.Context, v View, n Node) error {
	tctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	lease, err := g.store.Grant(tctx, refusalTTL)
	if err != nil {
		return err
	}
	when, then := v.Refuse(n, lease)
	if err := g.write(tctx, when, then); err != nil {
		_ = g.store.Revoke(tctx, lease)
		return err
	}
	return nil
}

// Stuck is an error that says why a command of a person cannot be carried out now.
type Stuck struct{ Why string }

func (s *Stuck) Error() string { return s.Why }

// Verbs of persons.
const (
	HoldVerb  = "hold"
	RaiseVerb = "raise"
	LowerVerb = "lower"
)

// Do carries out the command of a person; f is the feature that lowering takes off, or
// "" for the one that came on last. A *Stuck says what stands in its way; any
// other error leaves open whether it was carried out, which the status shows.
func (g *Gate) Do(ctx context.Context, verb string, f Feature, why string) error {
	if why == "" {
		why = "by a person"
	}
	var err error
	for range 5 {
		if err = g.mirror.ReadIndex(ctx); err != nil {
			return fmt.Errorf("reading the fleet's level: %w", err)
		}
		v := g.look(time.Now())
		v.Steward = 0 // what a person asks for needs no steward
		var change *Change
		var stuck string
		switch verb {
		case HoldVerb:
			change, stuck = v.Hold(why)
		case RaiseVerb:
			change, stuck = v.Raise()
		case LowerVerb:
			change, stuck = v.Lower(f, "lowered: "+why)
		default:
			stuck = fmt.Sprintf("%q is none of hold, raise, lower", verb)
		}
		if change == nil {
			return &Stuck{stuck}
		}
		if err = g.write(ctx, change.When, change.Then); err == nil {
			slog.Info("rollout command applied", "command", verb, "cluster_version", change.To.N, "reason", why)
			return nil
		}
		if !statekv.IsConflict(err) {
			break
		}
		// Something else changed the level, or a life began or ended: look again.
	}
	if errors.Is(err, statekv.ErrRejected) {
		return &Stuck{err.Error()}
	}
	return fmt.Errorf("writing the fleet's level: %w", err)
}
