package rollout

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"robinstack/internal/statekv"
)

// Operator commands that Execute accepts.
const (
	CommandHold  = "hold"
	CommandRaise = "raise"
	CommandLower = "lower"
)

// BlockedError reports that an operator's command cannot be carried out now, and why.
type BlockedError struct{ Reason string }

func (e *BlockedError) Error() string { return e.Reason }

// maxExecuteAttempts bounds how often Execute plans and writes a command. It plans again if a key
// that the plan depends on changed before the write.
const maxExecuteAttempts = 5

// Execute carries out an operator's command. feature is the feature that CommandLower disables; if
// it is empty, the feature enabled last is disabled. reason is the operator's reason, which is
// stored as the reason of a hold. A *BlockedError means that the command was not carried out, and
// why. After any other error it may or may not have been carried out; the status shows the result.
func (g *VersionGate) Execute(ctx context.Context, command string, feature Feature, reason string) error {
	if reason == "" {
		reason = "by a person"
	}
	var err error
	for range maxExecuteAttempts {
		if err = g.mirror.ReadIndex(ctx); err != nil {
			return fmt.Errorf("reading the fleet's level: %w", err)
		}
		change, blockedReason := g.planCommand(command, feature, reason)
		if change == nil {
			return &BlockedError{blockedReason}
		}
		if err = g.write(ctx, change.Compares, change.Ops); err == nil {
			slog.Info("rollout command applied",
				"command", command, "cluster_version", change.To.Number, "reason", reason)
			return nil
		}
		if !statekv.IsConflict(err) {
			break
		}
		// The version changed, or a session began or ended, since the snapshot: plan again.
	}
	if errors.Is(err, statekv.ErrRejected) {
		return &BlockedError{err.Error()}
	}
	return fmt.Errorf("writing the fleet's level: %w", err)
}

// planCommand returns the change that carries out a command, or nil and the reason why there is
// none.
func (g *VersionGate) planCommand(command string, feature Feature, reason string) (*VersionChange, string) {
	snapshot := g.snapshot(time.Now())
	snapshot.LeaderEpoch = 0 // an operator's command does not depend on which controller is leader
	switch command {
	case CommandHold:
		return snapshot.PlanHold(reason)
	case CommandRaise:
		return snapshot.PlanAllowRaise()
	case CommandLower:
		return snapshot.PlanLower(feature, "lowered: "+reason)
	}
	return nil, fmt.Sprintf("%q is none of hold, raise, lower", command)
}
