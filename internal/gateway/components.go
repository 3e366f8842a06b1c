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
	// maxMirrorAge is the age of the mirror at which its watch has certainly stopped receiving
	// responses: the state service answers a watch request within one second.
	maxMirrorAge = 2500 * time.Millisecond
	// ownerNotificationTimeout bounds how long a cancellation waits for the notification of the
	// machine owners.
	ownerNotificationTimeout = 100 * time.Millisecond
)

// Components are the parts of the controller that exist only during a session at the state service.
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
	PeerTraffic       func() peer.Traffic // traffic with other controllers; nil if not counted
}

// SetComponents sets the components that serve requests; nil between sessions.
func (g *Gateway) SetComponents(components *Components) { g.components.Store(components) }

// SetNotReadyReason sets the reason that clients are given while there is no session; "" means that
// the controller is starting.
func (g *Gateway) SetNotReadyReason(reason string) { g.notReadyReason.Store(&reason) }

// noSessionReason returns why requests cannot be served between sessions.
func (g *Gateway) noSessionReason() string {
	if reason := g.notReadyReason.Load(); reason != nil && *reason != "" {
		return *reason
	}
	return errStarting.reason
}

// sessionComponents returns the components for an operator's request. Without a session, the error
// gives the detailed reason.
func (g *Gateway) sessionComponents() (*Components, error) {
	components := g.components.Load()
	if components == nil {
		return nil, &requestError{unavailable, g.noSessionReason()}
	}
	return components, nil
}

// sessionFence returns the compare that holds as long as this controller's session lasts; false
// means that there is no session.
func (g *Gateway) sessionFence() (statekv.Compare, bool) {
	components := g.components.Load()
	if components == nil {
		return statekv.Compare{}, false
	}
	return components.Session.Fence(), true
}

// isolated reports whether this controller has lost the state service. User requests are then
// answered with Retry-After at once, because they would wait in vain. One late lease renewal or one
// late watch response is not enough: both the lease and the mirror must be out of date.
func (c *Components) isolated(now time.Time) bool {
	return !c.Session.HoldsLease() && now.Sub(c.Mirror.FreshAsOf()) > maxMirrorAge
}

// notifyMachineOwners notifies the owners of machines of a cancellation that is about to be
// acknowledged. rev is the revision of the cancellation, or 0 if unknown. This controller's own
// agent is notified directly, the others within ownerNotificationTimeout or not at all. Their watches
// show the cancellation about 0.1 s later, and by then tasks that were fetching their images may have
// started.
func (c *Components) notifyMachineOwners(ctx context.Context, jobID string, rev uint64) {
	if c.Agent == nil {
		return
	}
	c.Agent.RecordAcknowledgement(rev)
	c.Agent.StopCancelledJob(jobID)
	ctx, cancel := context.WithTimeout(ctx, ownerNotificationTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, host := range c.Session.AliveHosts() {
		if host == c.Session.Host {
			continue
		}
		calls.Go(func() {
			if err := c.Peers.Call(ctx, host, "Agent.Cancelled", jobID, &struct{}{}); err != nil {
				slog.Debug("cancellation delivery to machine owner failed", "host", host, "job", jobID, "err", err)
			}
		})
	}
	calls.Wait()
}
