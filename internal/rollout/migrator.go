package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// MigrationWriteShare is the fraction of the state service's write limit that a migration uses. It
// is not part of the share that the controllers divide among themselves, so a migration does not
// delay their writes.
const MigrationWriteShare = 0.1

const (
	migrationInterval     = time.Second     // between two checks for a pending migration
	migrationRetryDelay   = 2 * time.Second // after a failed page
	migrationWriteTimeout = 3 * time.Second // of one transaction, including the wait until the mirror shows it
)

// Migrator migrates stored values while its controller is leader. Each transaction migrates a batch
// of values and stores the progress, under compares that the version, the leader and the progress
// are unchanged since they were read. So concurrent migrators never undo each other's work, and the
// next leader continues where the previous one stopped.
type Migrator struct {
	store       statekv.Store
	mirror      *statekv.Mirror
	session     *statekv.Session
	leaderEpoch func() uint64
	txnOps      int // maximum operations of a transaction, from the settings
	limiter     *rate.Limiter
}

// NewMigrator returns a migrator that writes up to opsPerSecond operations a second, up to txnOps
// in one transaction. leaderEpoch returns the revision of the leader's key while this controller is
// leader, else 0.
func NewMigrator(
	store statekv.Store, mirror *statekv.Mirror, session *statekv.Session, leaderEpoch func() uint64,
	txnOps int, opsPerSecond float64,
) *Migrator {
	return &Migrator{
		store:       store,
		mirror:      mirror,
		session:     session,
		leaderEpoch: leaderEpoch,
		txnOps:      txnOps,
		limiter:     rate.NewLimiter(rate.Limit(opsPerSecond), txnOps),
	}
}

// Run looks for a pending migration every migrationInterval and continues it, until ctx ends.
func (m *Migrator) Run(ctx context.Context) {
	tick := time.NewTicker(migrationInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		m.migrateWhileLeader(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// migrateWhileLeader migrates page by page until nothing is left to do, ctx ends or this controller
// is no longer leader.
func (m *Migrator) migrateWhileLeader(ctx context.Context) {
	for m.leaderEpoch() != 0 && ctx.Err() == nil {
		more, err := m.migratePage(ctx)
		if err != nil {
			// Only logged for debugging: a migration has the lowest priority of all work, and the
			// next attempt continues it.
			slog.Debug("stored value migration failed", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(migrationRetryDelay):
			}
		}
		if !more {
			return
		}
	}
}

// migrationRun is a migration in progress, with the revisions that its writes compare.
type migrationRun struct {
	Migration
	rev, versionRev, leaderEpoch uint64
}

// currentRun returns the migration that this controller has to continue, if any.
func (m *Migrator) currentRun() (run migrationRun, ok bool) {
	kv, ok := m.mirror.Get(statekv.MigrationKey)
	versionKV, _ := m.mirror.Get(statekv.ClusterVersionKey)
	run = migrationRun{rev: kv.Rev, versionRev: versionKV.Rev, leaderEpoch: m.leaderEpoch()}
	if !ok || json.Unmarshal(kv.Value, &run.Migration) != nil || run.Done || run.leaderEpoch == 0 {
		return run, false
	}
	version, err := ParseClusterVersion(versionKV.Value)
	isCurrentVersion := err == nil && version.Number == run.Version
	return run, isCurrentVersion
}

// sourcePrefix returns the prefix of the keys that the migration scans.
func (r *migrationRun) sourcePrefix() string {
	if r.Name == MigrationRestoreLegacy {
		return tombstone.Prefix
	}
	return tombstone.LegacyPrefix
}

// cursorKey returns the key under a prefix after which the scan continues, or "" at its start.
func (r *migrationRun) cursorKey(prefix string) string {
	if r.Cursor == "" {
		return ""
	}
	return prefix + r.Cursor
}

// migratePage migrates the values of one page of the listing. more reports whether the caller must
// call it again now: there are further pages, or an error occurred.
func (m *Migrator) migratePage(ctx context.Context) (more bool, err error) {
	run, ok := m.currentRun()
	if !ok {
		return false, nil
	}
	prefix := run.sourcePrefix()
	page, err := m.store.List(ctx, prefix, run.cursorKey(prefix))
	if err != nil {
		return true, fmt.Errorf("listing the values under %s to migrate: %w", prefix, err)
	}
	items := page.Items
	var compactRevs map[string]uint64
	if run.Name == MigrationDropLegacy && len(items) > 0 {
		lastID := items[len(items)-1].Key[len(prefix):]
		if compactRevs, err = m.compactRevisions(ctx, &run, lastID); err != nil {
			return true, err
		}
	}
	for len(items) > 0 {
		n := min(len(items), m.batchSize(run.Name))
		if err := m.migrateBatch(ctx, &run, items[:n], compactRevs); err != nil {
			return true, err
		}
		items = items[n:]
	}
	if page.More {
		return true, nil
	}
	run.Done = true
	if err := m.commit(ctx, &run, nil); err != nil {
		return true, err
	}
	slog.Info("stored values migrated", "migration", run.Name,
		"scanned", run.Scanned, "migrated", run.Migrated, "undecodable", run.Undecodable)
	return false, nil
}

// batchSize returns how many values one transaction migrates. One operation is reserved for the
// progress.
func (m *Migrator) batchSize(migration string) int {
	ops := m.store.MaxTxnOps(m.txnOps) - 1
	if migration == MigrationDropLegacy {
		ops /= 2 // up to two operations for each value
	}
	return max(1, ops)
}

// compactRevisions returns the revisions of the compact tombstones, by job ID, from the migration's
// cursor up to and including lastID.
func (m *Migrator) compactRevisions(ctx context.Context, run *migrationRun, lastID string) (map[string]uint64, error) {
	revs := map[string]uint64{}
	after := run.cursorKey(tombstone.Prefix)
	for {
		page, err := m.store.List(ctx, tombstone.Prefix, after)
		if err != nil {
			return nil, fmt.Errorf("listing the compact tombstones: %w", err)
		}
		for _, kv := range page.Items {
			after = kv.Key
			id := kv.Key[len(tombstone.Prefix):]
			if id > lastID {
				return revs, nil
			}
			revs[id] = kv.Rev
		}
		if !page.More || len(page.Items) == 0 {
			return revs, nil
		}
	}
}

// valueMigration holds the compares and operations that migrate one value.
type valueMigration struct {
	compares []statekv.Compare
	ops      []statekv.Op
}

// planValue returns the compares and operations that migrate one tombstone.
func (r *migrationRun) planValue(
	kv statekv.KV, id string, parsed tombstone.Tombstone, compactRevs map[string]uint64,
) (valueMigration, error) {
	source := statekv.Compare{Key: kv.Key, Rev: kv.Rev}
	var target statekv.Compare // required state of the key in the other format
	var ops []statekv.Op
	switch r.Name {
	case MigrationWriteCompact:
		target = statekv.Compare{Key: tombstone.Key(id)}
		ops = tombstone.WriteOps(id, parsed, tombstone.CompactOnly)
	case MigrationRestoreLegacy:
		target = statekv.Compare{Key: tombstone.LegacyKey(id)}
		ops = tombstone.WriteOps(id, parsed, tombstone.LegacyOnly)
	case MigrationDropLegacy:
		target = statekv.Compare{Key: tombstone.Key(id), Rev: compactRevs[id]}
		if target.Rev == 0 {
			// The compact tombstone is missing if, after MigrationWriteCompact, all controllers
			// were replaced at once by a build that writes only legacy tombstones: no controller
			// was left to reject that build.
			ops = tombstone.WriteOps(id, parsed, tombstone.CompactOnly)
		}
		ops = append(ops, statekv.Op{Delete: kv.Key})
	default:
		return valueMigration{}, fmt.Errorf("unknown migration %q", r.Name)
	}
	return valueMigration{compares: []statekv.Compare{source, target}, ops: ops}, nil
}

// migrateBatch migrates some values in one transaction. Values whose compares fail are left out,
// since they have been migrated already.
func (m *Migrator) migrateBatch(
	ctx context.Context, run *migrationRun, items []statekv.KV, compactRevs map[string]uint64,
) error {
	next := *run
	var migrations []valueMigration
	for _, kv := range items {
		id, parsed, _, err := tombstone.Parse(kv.Key, kv.Value)
		if err != nil {
			next.recordUndecodable(kv.Key, err)
			continue
		}
		migration, err := run.planValue(kv, id, parsed, compactRevs)
		if err != nil {
			return err
		}
		migrations = append(migrations, migration)
	}
	next.Cursor = strings.TrimPrefix(items[len(items)-1].Key, run.sourcePrefix())
	next.Scanned += len(items)
	for {
		attempt := next
		attempt.Migrated += len(migrations)
		err := m.commit(ctx, &attempt, migrations)
		if err == nil {
			*run = attempt
			return nil
		}
		remaining := withoutConflicting(migrations, err)
		if len(remaining) == len(migrations) {
			return err
		}
		migrations = remaining
	}
}

// withoutConflicting returns the migrations that have no compare among those that err reports as
// failed: all of them, if err is no *statekv.ConflictError.
func withoutConflicting(migrations []valueMigration, err error) []valueMigration {
	var conflict *statekv.ConflictError
	if !errors.As(err, &conflict) {
		return migrations
	}
	failed := func(compare statekv.Compare) bool { return slices.Contains(conflict.Failed, compare.Key) }
	return slices.DeleteFunc(slices.Clone(migrations), func(migration valueMigration) bool {
		return slices.ContainsFunc(migration.compares, failed)
	})
}

// commit writes the migrations of some values and the progress in one transaction.
func (m *Migrator) commit(ctx context.Context, run *migrationRun, migrations []valueMigration) error {
	compares := []statekv.Compare{
		m.session.Fence(),
		{Key: statekv.ClusterVersionKey, Rev: run.versionRev},
		{Key: statekv.LeaderKey, Rev: run.leaderEpoch},
		{Key: statekv.MigrationKey, Rev: run.rev},
	}
	var ops []statekv.Op
	for _, migration := range migrations {
		compares = append(compares, migration.compares...)
		ops = append(ops, migration.ops...)
	}
	if err := m.limiter.WaitN(ctx, len(ops)+1); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, migrationWriteTimeout)
	defer cancel()
	progress := statekv.Op{Set: statekv.MigrationKey, Value: run.Migration}
	rev, err := m.store.Txn(ctx, compares, append(ops, progress))
	if err != nil {
		return fmt.Errorf("migrating %d values with %d operations: %w", len(migrations), len(ops), err)
	}
	run.rev = rev
	return m.mirror.Wait(ctx, rev) // the next page starts from the progress that the mirror shows
}
