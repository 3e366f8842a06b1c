package scheduler

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/job"
	"robinstack/internal/quota"
)

// quotaTimeout bounds one quota request to the leader.
const quotaTimeout = time.Second

// errNoLeader is returned when no leader has a live session.
var errNoLeader = errors.New("no leader with a live session")

// callQuota sends a quota request to the leader.
func (s *Scheduler) callQuota(ctx context.Context, request quota.Request) (*quota.Reply, error) {
	host, ok := s.leaderHost()
	if !ok {
		return nil, errNoLeader
	}
	var reply quota.Reply
	if err := s.peers.Call(ctx, host, methodQuota, request, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// requestGrants requests quota grants from the leader if the team has a quota. It returns the
// bindings that were granted and the epoch of the leader that granted them. Without a quota it
// returns all bindings and epoch 0.
func (s *Scheduler) requestGrants(
	ctx context.Context, j *jobState, bindings []*binding, epoch uint64,
) (granted []*binding, leaderEpoch uint64) {
	if !s.settings.HasQuota(j.spec.Team) {
		return bindings, 0
	}
	request := quota.Request{Slot: j.shardID, Epoch: epoch}
	for _, b := range bindings {
		request.Wants = append(request.Wants, quota.GrantRequest{Ref: b.ref, Team: j.spec.Team, Need: j.spec.Need})
	}
	callCtx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	reply, err := s.callQuota(callCtx, request)
	if err != nil || len(reply.Granted) != len(bindings) {
		slog.Debug("quota request failed", "job", j.spec.ID, "err", err)
		s.queueReleases(bindings) // the leader may have granted them although the request failed
		return nil, 0
	}
	for i, b := range bindings {
		if reply.Granted[i] {
			granted = append(granted, b)
		}
	}
	return granted, reply.Epoch
}

// queueReleases queues the release of the bindings' quota grants, which remain unused.
func (s *Scheduler) queueReleases(bindings []*binding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range bindings {
		s.outbox.grantReleases = append(s.outbox.grantReleases, b.ref)
	}
}

// queueRelease queues the release of a grant that is not used, if the team has a quota. The caller
// must hold s.mu.
func (s *Scheduler) queueRelease(j *jobState, ref agentapi.TaskRef) {
	if s.settings.HasQuota(j.spec.Team) {
		s.outbox.grantReleases = append(s.outbox.grantReleases, ref)
	}
}

// releaseGrants tells the leader which grants are not used. On failure the releases are queued
// again.
func (s *Scheduler) releaseGrants(ctx context.Context, refs []agentapi.TaskRef) {
	callCtx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	if _, err := s.callQuota(callCtx, quota.Request{Release: refs}); err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.outbox.grantReleases) < maxUndeliveredMessages {
		s.outbox.grantReleases = append(s.outbox.grantReleases, refs...)
	}
}

// quotaAllows reports whether the team's quota has capacity for the given number of tasks, so that
// nothing is preempted or reserved in vain. It acquires no grant.
func (s *Scheduler) quotaAllows(ctx context.Context, j *jobState, epoch uint64, tasks int) bool {
	if !s.settings.HasQuota(j.spec.Team) {
		return true
	}
	request := quota.Request{Slot: j.shardID, Epoch: epoch, Probe: true}
	grantRequest := quota.GrantRequest{Ref: agentapi.TaskRef{Job: j.spec.ID}, Team: j.spec.Team, Need: j.spec.Need}
	for range tasks {
		request.Wants = append(request.Wants, grantRequest)
	}
	callCtx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	reply, err := s.callQuota(callCtx, request)
	return err == nil && !slices.Contains(reply.Granted, false)
}

// reserveQuota asks the leader to reserve free capacity within the team's quota, as it becomes
// available, for a job whose start is overdue. Without the reservation, smaller jobs of the team
// would take that capacity indefinitely. It reports whether all of the capacity is available.
func (s *Scheduler) reserveQuota(ctx context.Context, j *jobState, epoch uint64, tasks int) bool {
	if !s.settings.HasQuota(j.spec.Team) {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	reply, err := s.callQuota(callCtx, quota.Request{
		Slot:  j.shardID,
		Epoch: epoch,
		Reserve: &quota.Reservation{
			Job:   j.spec.ID,
			Team:  j.spec.Team,
			Need:  job.Resources{}.AddScaled(j.spec.Need, float64(tasks)),
			Since: j.readyAt.UnixMilli(),
		},
	})
	return err == nil && reply.Reserved
}
