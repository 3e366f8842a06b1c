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

// quotaTimeout is how long one question to the leader about quotas may take.
const quotaTimeout = time.Second

// errNoLeader says that there is no leader whose session is alive.
var errNoLeader = errors.New("no leader")

// callQuota sends the leader a request about quotas.
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

// requestGrants asks the leader for quota grants where the team has a quota, and returns
// the bindings that have one, with the epoch of the leader that gave them.
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
		s.queueReleases(bindings) // they may have been granted all the same
		return nil, 0
	}
	for i, b := range bindings {
		if reply.Granted[i] {
			granted = append(granted, b)
		}
	}
	return granted, reply.Epoch
}

// queueReleases has the leader told that grants of bindings are not used.
func (s *Scheduler) queueReleases(bindings []*binding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range bindings {
		s.outbox.releases = append(s.outbox.releases, b.ref)
	}
}

// queueRelease has the leader told that a grant is not used, where the team has a quota.
// The mutex is held.
func (s *Scheduler) queueRelease(j *jobState, ref agentapi.TaskRef) {
	if s.settings.HasQuota(j.spec.Team) {
		s.outbox.releases = append(s.outbox.releases, ref)
	}
}

// releaseGrants tells the leader which grants are not used.
func (s *Scheduler) releaseGrants(ctx context.Context, refs []agentapi.TaskRef) {
	callCtx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	if _, err := s.callQuota(callCtx, quota.Request{Release: refs}); err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.outbox.releases) < maxOutbox {
		s.outbox.releases = append(s.outbox.releases, refs...)
	}
}

// quotaAllows asks whether the team's quota leaves capacity for so many tasks, so that
// nothing is preempted in vain. It grants nothing.
func (s *Scheduler) quotaAllows(ctx context.Context, j *jobState, epoch uint64, tasks int) bool {
	if !s.settings.HasQuota(j.spec.Team) {
		return true
	}
	request := quota.Request{Slot: j.shardID, Epoch: epoch, Probe: true}
	want := quota.GrantRequest{Ref: agentapi.TaskRef{Job: j.spec.ID}, Team: j.spec.Team, Need: j.spec.Need}
	for range tasks {
		request.Wants = append(request.Wants, want)
	}
	callCtx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	reply, err := s.callQuota(callCtx, request)
	return err == nil && !slices.Contains(reply.Granted, false)
}

// reserveQuota has the leader keep what the team's quota leaves for a job whose start is
// overdue, as it comes free: otherwise smaller jobs of the team would take it for ever. It
// returns whether all of it is there.
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
