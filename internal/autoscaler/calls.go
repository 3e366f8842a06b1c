package autoscaler

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/logline"
)

// rent asks the cloud for machines; what has no answer is asked for again under its name.
func (s *Leader) rent(ctx context.Context, r cloud.ScaleOutRequest) {
	now := time.Now()
	cctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	names, err := s.cloud.ScaleOut(cctx, r)
	cancel()
	p := pool{r.Type, r.Zone, r.Spot}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.fleet
	switch {
	case errors.Is(err, cloud.ErrNoCapacity):
		f.refuse(p, now)
	case err != nil:
		slog.Info("scale-out outcome unknown", "request", r.RequestID, "err", err)
		f.retry = append(f.retry, r)
		return
	case len(names) < r.Count:
		f.refuse(p, now)
	case f.limits[p] > 0:
		f.limits[p] = min(4*f.limits[p], maxRentals*maxHire)
	}
	for _, name := range names {
		f.booting[name] = boot{pool: p, since: now, ours: true}
	}
	slog.Info(logline.ScaledOut, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "requested", r.Count, "granted", len(names), "machines", names)
}

// giveBack drains idle machines, which their owners refuse if a task has come
// in between, and deletes those that are drained.
func (s *Leader) giveBack(ctx context.Context, names []string) {
	byHost := map[string][]string{}
	for _, name := range names {
		if host, ok := s.feed.OwnerHost(name); ok {
			byHost[host] = append(byHost[host], name)
		}
	}
	for host, names := range byHost {
		var reply agentapi.MachinesReply
		cctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		err := s.call.Call(cctx, host, "Agent.Drain", agentapi.MachinesRequest{Names: names, On: true}, &reply)
		cancel()
		if err != nil {
			slog.Debug("machine drain failed", "host", host, "err", err)
			continue
		}
		s.remove(ctx, reply.Names)
	}
}

// remove deletes machines in the cloud and then tells their owners.
func (s *Leader) remove(ctx context.Context, names []string) {
	for chunk := range slices.Chunk(names, 100) {
		cctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		err := s.cloud.ScaleIn(cctx, chunk)
		cancel()
		if err != nil {
			slog.Info("scale-in failed", "machines", chunk, "err", err)
			return
		}
		slog.Info(logline.ScaledIn, "machines", chunk)
		s.mu.Lock()
		for _, name := range chunk {
			delete(s.fleet.booting, name)
			s.fleet.deleted[name] = time.Now()
		}
		s.mu.Unlock()
		s.tellOwners(ctx, chunk)
	}
}

// tellOwners tells the owners of machines that the cloud has deleted them.
func (s *Leader) tellOwners(ctx context.Context, names []string) {
	byHost := map[string][]string{}
	for _, name := range names {
		if host, ok := s.feed.OwnerHost(name); ok {
			byHost[host] = append(byHost[host], name)
		}
	}
	for host, names := range byHost {
		cctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		if err := s.call.Call(cctx, host, "Agent.Removed", agentapi.MachinesRequest{Names: names}, &agentapi.MachinesReply{}); err != nil {
			slog.Debug("machine deletion report to owner failed", "host", host, "err", err)
		}
		cancel()
	}
}

// runRetelling tells owners once more of machines that the cloud has deleted, beside the
// planning: an owner that does not answer must not hold that up.
func (s *Leader) runRetelling(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case names := <-s.retell:
			s.tellOwners(ctx, names)
		}
	}
}
