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

// MigrationWriteShare is the share of the state service's write limit that a migration
// uses. It is beside the share that controllers divide among themselves, so that nothing
// waits for it.
const MigrationWriteShare = 0.1

const (
	migrationInterval     = time.Second     // between two looks for a migration
	migrationRetryDelay   = 2 * time.Second // after a failure
	migrationWriteTimeout = 3 * time.Second // of one transaction, the mirror's catching up included
)

// Migrator migrates stored values while its controller is leader. Each transaction
// migrates some and notes the progress, under the compares that the version, the leader
// and the progress are as they were seen; so two migrators never undo each other, and
// whoever is leader next goes on where the last one stopped.
type Migrator struct {
	store       statekv.Store
	mirror      *statekv.Mirror
	session     *statekv.Session
	leaderEpoch func() uint64
	txnOps      int // ops of one transaction by the settings
	limiter     *rate.Limiter
}

// NewMigrator returns a migrator that makes up to opsPerSecond changes a second, txnOps in
// one transaction. leaderEpoch returns the revision of the leader's role while this
// controller has it, else 0.
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

// Run migrates what there is to migrate until ctx ends.
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

// migrateWhileLeader migrates page by page until there is nothing left to do.
func (m *Migrator) migrateWhileLeader(ctx context.Context) {
	for m.leaderEpoch() != 0 && ctx.Err() == nil {
		more, err := m.migratePage(ctx)
		if err != nil {
			// The service has more to do than this: it comes after everything.
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

// migrationRun is a migration under way with the revisions that it depends on.
type migrationRun struct {
	Migration
	rev, versionRev, leaderEpoch uint64
}

// currentRun returns the migration that this controller has to go on with, if any.
func (m *Migrator) currentRun() (run migrationRun, ok bool) {
	kv, ok := m.mirror.Get(statekv.MigrationKey)
	versionKV, _ := m.mirror.Get(statekv.ClusterVersionKey)
	run = migrationRun{rev: kv.Rev, versionRev: versionKV.Rev, leaderEpoch: m.leaderEpoch()}
	if !ok || json.Unmarshal(kv.Value, &run.Migration) != nil || run.Done || run.leaderEpoch == 0 {
		return run, false
	}
	version, err := ParseClusterVersion(versionKV.Value)
	madeHere := err == nil && version.Number == run.Version
	return run, madeHere
}

// source is the prefix of the keys that the migration scans.
func (r *migrationRun) source() string {
	if r.Name == MigrationRestoreLegacy {
		return tombstone.Prefix
	}
	return tombstone.LegacyPrefix
}

// cursorKey is the key under a prefix after which the scan goes on, or "" at its start.
func (r *migrationRun) cursorKey(prefix string) string {
	if r.Cursor == "" {
		return ""
	}
	return prefix + r.Cursor
}

// migratePage migrates the values of one page of the listing. It returns whether there is
// more to do now.
func (m *Migrator) migratePage(ctx context.Context) (more bool, err error) {
	run, ok := m.currentRun()
	if !ok {
		return false, nil
	}
	source := run.source()
	page, err := m.store.List(ctx, source, run.cursorKey(source))
	if err != nil {
		return true, fmt.Errorf("listing what is to be moved: %w", err)
	}
	items := page.Items
	var compactRevs map[string]uint64
	if run.Name == MigrationDropLegacy && len(items) > 0 {
		lastID := items[len(items)-1].Key[len(source):]
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

// batchSize is how many values one transaction migrates, beside the note of the progress.
func (m *Migrator) batchSize(migration string) int {
	ops := m.store.MaxTxnOps(m.txnOps) - 1
	if migration == MigrationDropLegacy {
		ops /= 2 // two ops for each value at most
	}
	return max(1, ops)
}

// compactRevisions returns the revisions of the compact tombstones, by job, from where the
// migration is up to a job.
func (m *Migrator) compactRevisions(ctx context.Context, run *migrationRun, lastID string) (map[string]uint64, error) {
	revs := map[string]uint64{}
	after := run.cursorKey(tombstone.Prefix)
	for {
		page, err := m.store.List(ctx, tombstone.Prefix, after)
		if err != nil {
			return nil, fmt.Errorf("listing what was moved: %w", err)
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

// valueMigration is the migration of one value.
type valueMigration struct {
	compares []statekv.Compare
	ops      []statekv.Op
}

// planValue returns how one tombstone is migrated.
func (r *migrationRun) planValue(
	kv statekv.KV, id string, stone tombstone.Tombstone, compactRevs map[string]uint64,
) (valueMigration, error) {
	unchanged := statekv.Compare{Key: kv.Key, Rev: kv.Rev}
	var target statekv.Compare // what the other form has to be like
	var ops []statekv.Op
	switch r.Name {
	case MigrationCopy:
		target = statekv.Compare{Key: tombstone.Key(id)}
		ops = tombstone.WriteOps(id, stone, tombstone.CompactOnly)
	case MigrationRestoreLegacy:
		target = statekv.Compare{Key: tombstone.LegacyKey(id)}
		ops = tombstone.WriteOps(id, stone, tombstone.LegacyOnly)
	case MigrationDropLegacy:
		target = statekv.Compare{Key: tombstone.Key(id), Rev: compactRevs[id]}
		if target.Rev == 0 {
			// Controllers of the former version that were started all together since have
			// nobody who rejects them, and write only the legacy form.
			ops = tombstone.WriteOps(id, stone, tombstone.CompactOnly)
		}
		ops = append(ops, statekv.Op{Delete: kv.Key})
	default:
		return valueMigration{}, fmt.Errorf("move %q is unknown", r.Name)
	}
	return valueMigration{compares: []statekv.Compare{unchanged, target}, ops: ops}, nil
}

// migrateBatch migrates some values with one transaction. Those that turn out to be
// migrated already are left out.
func (m *Migrator) migrateBatch(
	ctx context.Context, run *migrationRun, items []statekv.KV, compactRevs map[string]uint64,
) error {
	next := *run
	var migrations []valueMigration
	for _, kv := range items {
		id, stone, _, err := tombstone.Parse(kv.Key, kv.Value)
		if err != nil {
			next.noteUndecodable(kv.Key, err)
			continue
		}
		migration, err := run.planValue(kv, id, stone, compactRevs)
		if err != nil {
			return err
		}
		migrations = append(migrations, migration)
	}
	next.Cursor = strings.TrimPrefix(items[len(items)-1].Key, run.source())
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

// withoutConflicting returns the migrations of which no compare failed by err.
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

// commit writes the migrations of some values together with the progress.
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
		return fmt.Errorf("moving %d values: %w", len(ops), err)
	}
	run.rev = rev
	return m.mirror.Wait(ctx, rev) // the next page depends on what the mirror shows
}
