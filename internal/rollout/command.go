package rollout

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"robinstack/internal/statekv"
)

// Commands of operators, as Execute takes them.
const (
	CommandHold  = "hold"
	CommandRaise = "raise"
	CommandLower = "lower"
)

// BlockedError says why a command of an operator cannot be carried out now.
type BlockedError struct{ Reason string }

func (e *BlockedError) Error() string { return e.Reason }

// maxExecuteAttempts bounds how often a command is planned anew because something else
// changed the version meanwhile.
const maxExecuteAttempts = 5

// Execute carries out the command of an operator. feature is the one that lowering
// disables, or "" for the one that was enabled last; reason is the operator's. A
// *BlockedError says what prevents it; any other error leaves open whether it was carried
// out, which the status shows.
func (g *VersionGate) Execute(ctx context.Context, command string, feature Feature, reason string) error {
	if reason == "" {
		reason = "by a person"
	}
	var err error
	for range maxExecuteAttempts {
		if err = g.mirror.ReadIndex(ctx); err != nil {
			return fmt.Errorf("reading the fleet's level: %w", err)
		}
		change, blocked := g.planCommand(command, feature, reason)
		if change == nil {
			return &BlockedError{blocked}
		}
		if err = g.write(ctx, change.Compares, change.Ops); err == nil {
			slog.Info("rollout command applied",
				"command", command, "cluster_version", change.To.Number, "reason", reason)
			return nil
		}
		if !statekv.IsConflict(err) {
			break
		}
		// Something else changed the version, or a session began or ended: plan anew.
	}
	if errors.Is(err, statekv.ErrRejected) {
		return &BlockedError{err.Error()}
	}
	return fmt.Errorf("writing the fleet's level: %w", err)
}

// planCommand returns the change that carries out a command, or why there is none.
func (g *VersionGate) planCommand(command string, feature Feature, reason string) (*VersionChange, string) {
	snapshot := g.snapshot(time.Now())
	snapshot.LeaderEpoch = 0 // what an operator asks for needs no leader
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
