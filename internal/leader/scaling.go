package leader

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/autoscaler"
	"robinstack/internal/changefeed"
	"robinstack/internal/cloud"
	"robinstack/internal/logline"
	"robinstack/internal/statekv"
)

const (
	planInterval = time.Second
	// reconcilingPlanInterval is the interval between plans while some machines have not answered
	// their new owners, because jobs may wait for each of these machines.
	reconcilingPlanInterval = 300 * time.Millisecond
	// recomputeInterval is the interval between recomputations of the ledger's sums.
	recomputeInterval = 10 * time.Second
	// drainTimeout bounds the call that asks an owner to drain idle machines.
	drainTimeout = 2 * time.Second
	// deletionReportTimeout bounds the call that reports deleted machines to their owner.
	deletionReportTimeout = 3 * time.Second
)

// runScaling scales the cluster out and in while this controller is the leader.
func (l *Leader) runScaling(ctx context.Context) {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if l.Epoch() == 0 || !l.session.HoldsLease() || len(l.catalogue.Types()) == 0 {
			continue
		}
		plan := l.plan(time.Now())
		logPlan(plan)
		l.scaleOut(ctx, plan.ScaleOut)
		tick.Reset(planInterval)
		if plan.Unreconciled > 0 {
			tick.Reset(reconcilingPlanInterval)
		}
		select {
		case l.deletionReports <- plan.RenotifyDeleted:
		default: // the previous reports are still being sent
		}
		l.drainAndDelete(ctx, plan.ScaleIn)
		l.deleteMachines(ctx, plan.Delete)
	}
}

// plan decides which machines to request, drain and delete.
func (l *Leader) plan(now time.Time) *autoscaler.Plan {
	types := l.catalogue.Types()
	l.mu.Lock()
	defer l.mu.Unlock()
	snapshot := &autoscaler.Snapshot{
		Now:   now,
		Types: types,
		// Read with l.mu held: every entry that the ledger includes is then in the list.
		Entries: l.feed.Entries(),
		HasOwner: func(machine string) bool {
			_, owned := l.mirror.Get(statekv.MachinePrefix + machine)
			return owned
		},
	}
	snapshot.Epoch, snapshot.Demand = l.epoch, l.demand
	snapshot.LedgerMachines = l.ledger.MachineCount()
	inventory := l.fleet.BuildInventory(snapshot)
	l.retainMachines(inventory.Present)
	if now.Sub(l.recomputedAt) > recomputeInterval {
		l.recomputedAt = now
		l.ledger.Recompute()
	}
	snapshot.TeamUsage = l.ledger.Usage()
	return l.fleet.Plan(inventory, snapshot)
}

func logPlan(plan *autoscaler.Plan) {
	for _, m := range plan.Lost {
		slog.Info("machine lost", "machine", m.Machine, "reason", m.Reason)
	}
	for _, m := range plan.Overdue {
		slog.Info("provisioning overdue", "machine", m.Machine, "age", m.Age.Round(time.Second))
	}
	for _, p := range plan.Stalled {
		slog.Info("machine provisioning stalled", "type", p.Type, "zone", p.Zone, "spot", p.Spot,
			"provisioning", p.Provisioning, "overdue", p.Overdue)
	}
	if s := plan.Summary; s != nil {
		slog.Info("cluster summary", "machines", s.Machines, "provisioning", s.Provisioning, "idle", s.Idle,
			"idle_reserved", s.IdleReserved, "free_gpus", s.FreeGPUs, "tasks_pending", s.TasksPending)
	}
}

// scaleOut makes all requests concurrently and waits for the answers.
func (l *Leader) scaleOut(ctx context.Context, requests []cloud.ScaleOutRequest) {
	var requestsInFlight sync.WaitGroup
	for _, request := range requests {
		requestsInFlight.Go(func() { l.requestMachines(ctx, request) })
	}
	requestsInFlight.Wait()
}

// requestMachines requests machines from the cloud. A request without an answer is repeated later
// with the same request ID.
func (l *Leader) requestMachines(ctx context.Context, request cloud.ScaleOutRequest) {
	sent := time.Now()
	granted, err := autoscaler.ScaleOut(ctx, l.cloud, request)
	if err != nil {
		slog.Info("scale-out outcome unknown", "request", request.RequestID, "err", err)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.fleet.OnScaleOutUnanswered(request)
		return
	}
	slog.Info(logline.ScaledOut, "type", request.Type, "zone", request.Zone, "spot", request.Spot,
		"requested", request.Count, "granted", len(granted), "machines", granted)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.OnScaleOut(request, granted, sent)
}

// drainAndDelete asks the owners to drain idle machines and deletes those that were drained. An
// owner does not drain a machine that has got a task in the meantime, unless the machine is
// unresponsive or quarantined.
func (l *Leader) drainAndDelete(ctx context.Context, machines []string) {
	for host, owned := range l.groupByOwner(machines) {
		drained, err := l.drain(ctx, host, owned)
		if err != nil {
			slog.Debug("machine drain failed", "host", host, "err", err)
			continue
		}
		l.deleteMachines(ctx, drained)
	}
}

func (l *Leader) drain(ctx context.Context, host string, machines []string) (drained []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	var reply agentapi.MachinesReply
	err = l.peers.Call(ctx, host, "Agent.Drain", agentapi.MachinesRequest{Names: machines, On: true}, &reply)
	return reply.Names, err
}

// deleteMachines deletes machines in the cloud and then reports the deletion to their owners.
func (l *Leader) deleteMachines(ctx context.Context, machines []string) {
	for chunk := range slices.Chunk(machines, autoscaler.MaxMachinesPerDeletion) {
		if err := autoscaler.ScaleIn(ctx, l.cloud, chunk); err != nil {
			slog.Info("scale-in failed", "machines", chunk, "err", err)
			return
		}
		slog.Info(logline.ScaledIn, "machines", chunk)
		l.mu.Lock()
		l.fleet.OnDeleted(chunk, time.Now())
		l.mu.Unlock()
		l.reportDeletions(ctx, chunk)
	}
}

// reportDeletions tells the owners of machines that the cloud has deleted them.
func (l *Leader) reportDeletions(ctx context.Context, machines []string) {
	for host, owned := range l.groupByOwner(machines) {
		if err := l.reportDeletionsTo(ctx, host, owned); err != nil {
			slog.Debug("machine deletion report to owner failed", "host", host, "err", err)
		}
	}
}

func (l *Leader) reportDeletionsTo(ctx context.Context, host string, machines []string) error {
	ctx, cancel := context.WithTimeout(ctx, deletionReportTimeout)
	defer cancel()
	request := agentapi.MachinesRequest{Names: machines}
	return l.peers.Call(ctx, host, "Agent.Removed", request, &agentapi.MachinesReply{})
}

// runDeletionReports repeats the deletion reports to owners that may have missed them. It runs
// apart from planning, so that an owner that does not answer cannot delay the planning.
func (l *Leader) runDeletionReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case machines := <-l.deletionReports:
			l.reportDeletions(ctx, machines)
		}
	}
}

// groupByOwner groups machines by the host of their owner. Machines without an owner are left out.
func (l *Leader) groupByOwner(machines []string) map[string][]string {
	return changefeed.GroupByOwner(l.feed, machines, func(name *string) string { return *name })
}
