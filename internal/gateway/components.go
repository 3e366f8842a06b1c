package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"robinstack/internal/changefeed"
	"robinstack/internal/clusteragent"
	"robinstack/internal/dag"
	"robinstack/internal/peer"
	"robinstack/internal/recovery"
	"robinstack/internal/rollout"
	"robinstack/internal/scheduler"
	"robinstack/internal/statekv"
)

const (
	// maxMirrorAge is how old the mirror is when watches have plainly stopped to come back: they
	// wait for a second at most.
	maxMirrorAge = 2500 * time.Millisecond
	// ownerNotificationTimeout is how long a user who cancels may wait until the owners of
	// machines know.
	ownerNotificationTimeout = 100 * time.Millisecond
)

// Components are the parts of the controller that exist while its session in the state service
// does.
type Components struct {
	Session           *statekv.Session
	Mirror            *statekv.Mirror
	Agent             *clusteragent.Agent
	Scheduler         *scheduler.Scheduler
	Feed              *changefeed.Feed
	VersionGate       *rollout.VersionGate
	ClusterVersion    *rollout.VersionReader
	DependencyTracker *dag.Tracker
	Peers             peer.Caller
	RecoveryTimeline  *recovery.Timeline
	PeerTraffic       func() peer.Traffic // with other controllers; nil: not counted
}

// SetComponents says what to serve requests with; nil between sessions.
func (g *Gateway) SetComponents(components *Components) { g.components.Store(components) }

// SetNotReadyReason says why this controller has no session, for those who ask meanwhile; ""
// means that it is starting.
func (g *Gateway) SetNotReadyReason(reason string) { g.notReadyReason.Store(&reason) }

// startupReason is why requests cannot be served between sessions.
func (g *Gateway) startupReason() string {
	if reason := g.notReadyReason.Load(); reason != nil && *reason != "" {
		return *reason
	}
	return errStarting.reason
}

// sessionComponents returns the components for a request of an operator, who learns in detail
// why there are none.
func (g *Gateway) sessionComponents() (*Components, error) {
	components := g.components.Load()
	if components == nil {
		return nil, &requestError{unavailable, g.startupReason()}
	}
	return components, nil
}

// sessionFence is the compare that holds while this controller's session goes on, if it has one.
func (g *Gateway) sessionFence() (statekv.Compare, bool) {
	components := g.components.Load()
	if components == nil {
		return statekv.Compare{}, false
	}
	return components.Session.Fence(), true
}

// isolated reports whether this session does not reach the state service: what users ask then is
// answered at once with when to come back, for it would wait for nothing. Alone, a renewal or a
// watch may be late.
func (p *Components) isolated(now time.Time) bool {
	return !p.Session.HoldsLease() && now.Sub(p.Mirror.FreshAsOf()) > maxMirrorAge
}

// notifyMachineOwners lets owners of machines know of a cancellation, of revision rev or 0, that
// is about to be acknowledged: this controller's own agent at once, the others within a short
// time or not at all. Their watches would show it a tenth of a second later, and by then tasks
// that were fetching their images may have begun.
func (p *Components) notifyMachineOwners(ctx context.Context, jobID string, rev uint64) {
	if p.Agent == nil {
		return
	}
	p.Agent.NoteAcknowledgement(rev)
	p.Agent.StopCancelledJob(jobID)
	ctx, cancel := context.WithTimeout(ctx, ownerNotificationTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, host := range p.Session.AliveHosts() {
		if host == p.Session.Host {
			continue
		}
		calls.Go(func() {
			if err := p.Peers.Call(ctx, host, "Agent.Cancelled", jobID, &struct{}{}); err != nil {
				slog.Debug("cancellation delivery to machine owner failed", "host", host, "job", jobID, "err", err)
			}
		})
	}
	calls.Wait()
}
