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

// Moves of stored values.
const (
	MigrationCopy          = "copy" // ended jobs get records of the new form beside the former ones
	MigrationDropLegacy    = "drop" // the former ones go
	MigrationRestoreLegacy = "back" // former ones are written for those that have only the new
)

// Migration is how far stored values have been moved, as the move's key holds it.
type Migration struct {
	Name     string `json:"move"`
	Version  int    `json:"level"`           // at which it is made
	Cursor   string `json:"after,omitempty"` // the last job that was looked at, by the order of keys
	Scanned  int    `json:"looked"`
	Migrated int    `json:"moved"`
	Done     bool   `json:"done,omitempty"`

	// Undecodable counts the values that cannot be read and were left as they are; the first
	// ones are listed.
	Undecodable       int                `json:"bad,omitempty"`
	UndecodableSample []UndecodableValue `json:"unreadable,omitempty"`
}

// unreadable is the name of a move whose key cannot be read.
const unreadable = "unreadable"

// mostBad bounds the unreadable values that are listed by key, and mostWhy the bytes of
// each reason: with keys of 200 bytes, the longest there are, all of it must fit the
// smallest limit of a value, or the move could never go on.
const (
	mostBad = 4
	mostWhy = 150
)

// MarshalJSON keeps to those that fit: the former version listed more.
func (m Migration) MarshalJSON() ([]byte, error) {
	type plain Migration
	m.UndecodableSample = m.UndecodableSample[:min(len(m.UndecodableSample), mostBad)]
	return json.Marshal(plain(m))
}

// unreadable notes a value that is left as it is.
func (m *Migration) unreadable(key string, err error) {
	slog.Error("stored value undecodable, kept unchanged", "key", key, "err", err)
	m.Undecodable++
	if len(m.UndecodableSample) < mostBad {
		why := strings.ToValidUTF8(err.Error()[:min(len(err.Error()), mostWhy)], "")
		m.UndecodableSample = append(slices.Clone(m.UndecodableSample), UndecodableValue{key, why})
	}
}

func (m Migration) String() string {
	s := fmt.Sprintf("%s: %d of %d looked at so far moved", m.Name, m.Migrated, m.Scanned)
	if m.Done {
		s = fmt.Sprintf("%s: all %d looked at, %d moved", m.Name, m.Scanned, m.Migrated)
	}
	if m.Undecodable > 0 {
		s += fmt.Sprintf(", %d cannot be read", m.Undecodable)
	}
	return s
}

// MigrationWriteShare is the part of the state service's write limit that a move uses. It is
// beside the part that controllers share, so that nothing waits for it.
const MigrationWriteShare = 0.1

// Migrator moves stored values while its controller is steward. Each transaction moves some
// and notes how far it got, under the conditions that the level, the steward and that
// note are as they were seen; so two movers never undo each other, and whoever is
// steward next goes on where the last one stopped.
type Migrator struct {
	store   statekv.Store
	mirror  *statekv.Mirror
	member  *statekv.Session
	steward func() uint64
	txnOps  int
	pace    *rate.Limiter
}

// NewMigrator returns a mover that makes so many changes a second at most.
func NewMigrator(store statekv.Store, mirror *statekv.Mirror, member *statekv.Session, steward func() uint64, txnOps int, perSecond float64) *Migrator {
	return &Migrator{store: store, mirror: mirror, member: member, steward: steward, txnOps: txnOps,
		pace: rate.NewLimiter(rate.Limit(perSecond), txnOps)}
}

// Run moves what there is to move until ctx ends.
func (m *Migrator) Run(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for ctx.Err() == nil {
		for m.steward() != 0 && ctx.Err() == nil {
			more, err := m.page(ctx)
			if err != nil {
				// The service has more to do than this: it comes after everything.
				slog.Debug("stored value migration failed", "err", err)
				select {
				case <-ctx.Done():
				case <-time.After(2 * time.Second):
				}
			}
			if !more {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// moving is a move under way with the revisions that it goes by.
type moving struct {
	Migration
	rev, level, steward uint64
}

// page moves the values of one page of the listing. It returns whether there is more
// to do now.
func (m *Migrator) page(ctx context.Context) (more bool, err error) {
	kv, ok := m.mirror.Get(statekv.MigrationKey)
	levelKV, _ := m.mirror.Get(statekv.ClusterVersionKey)
	at := moving{rev: kv.Rev, level: levelKV.Rev, steward: m.steward()}
	if !ok || json.Unmarshal(kv.Value, &at.Migration) != nil || at.Done || at.steward == 0 {
		return false, nil
	}
	level, err := ParseClusterVersion(levelKV.Value)
	if err != nil || level.Number != at.Version {
		return false, nil // it was made at another level
	}
	from := tombstone.LegacyPrefix
	if at.Name == MigrationRestoreLegacy {
		from = tombstone.Prefix
	}
	after := ""
	if at.Cursor != "" {
		after = from + at.Cursor
	}
	list, err := m.store.List(ctx, from, after)
	if err != nil {
		return true, fmt.Errorf("listing what is to be moved: %w", err)
	}
	var others map[string]uint64
	if at.Name == MigrationDropLegacy && len(list.Items) > 0 {
		if others, err = m.revisions(ctx, tombstone.Prefix, at.Cursor, list.Items[len(list.Items)-1].Key[len(from):]); err != nil {
			return true, err
		}
	}
	items := list.Items
	for len(items) > 0 {
		most := m.store.MaxTxnOps(m.txnOps)
		n := min(len(items), max(1, most-1))
		if at.Name == MigrationDropLegacy {
			n = min(n, max(1, (most-1)/2)) // two changes each at most
		}
		if err := m.batch(ctx, &at, items[:n], others); err != nil {
			return true, err
		}
		items = items[n:]
	}
	if !list.More {
		at.Done = true
		if err := m.note(ctx, &at, nil, nil); err != nil {
			return true, err
		}
		slog.Info("stored values migrated", "migration", at.Name, "scanned", at.Scanned, "migrated", at.Migrated, "undecodable", at.Undecodable)
		return false, nil
	}
	return true, nil
}

// revisions lists the revisions of the keys under prefix for the jobs after one up to
// another.
func (m *Migrator) revisions(ctx context.Context, prefix, after, last string) (map[string]uint64, error) {
	out := map[string]uint64{}
	key := ""
	if after != "" {
		key = prefix + after
	}
	for {
		page, err := m.store.List(ctx, prefix, key)
		if err != nil {
			return nil, fmt.Errorf("listing what was moved: %w", err)
		}
		for _, kv := range page.Items {
			key = kv.Key
			if key[len(prefix):] > last {
				return out, nil
			}
			out[key[len(prefix):]] = kv.Rev
		}
		if !page.More || len(page.Items) == 0 {
			return out, nil
		}
	}
}

// batch moves some values with one transaction. Those that turn out to be moved
// already are left out.
func (m *Migrator) batch(ctx context.Context, at *moving, items []statekv.KV, others map[string]uint64) error {
	type change struct {
		when []statekv.Compare
		ops  []statekv.Op
	}
	var changes []change
	noted := *at
	for _, kv := range items {
		id, r, _, err := tombstone.Parse(kv.Key, kv.Value)
		if err != nil {
			noted.unreadable(kv.Key, err)
			continue
		}
		c := change{when: []statekv.Compare{{Key: kv.Key, Rev: kv.Rev}}}
		switch at.Name {
		case MigrationCopy:
			c.when = append(c.when, statekv.Compare{Key: tombstone.Key(id)})
			c.ops = tombstone.WriteOps(id, r, tombstone.CompactOnly)
		case MigrationRestoreLegacy:
			c.when = append(c.when, statekv.Compare{Key: tombstone.LegacyKey(id)})
			c.ops = tombstone.WriteOps(id, r, tombstone.LegacyOnly)
		case MigrationDropLegacy:
			c.when = append(c.when, statekv.Compare{Key: tombstone.Key(id), Rev: others[id]})
			if others[id] == 0 {
				// Controllers of the former version that were started all together
				// since have nobody who refuses them, and write only this form.
				c.ops = tombstone.WriteOps(id, r, tombstone.CompactOnly)
			}
			c.ops = append(c.ops, statekv.Op{Delete: kv.Key})
		default:
			return fmt.Errorf("move %q is unknown", at.Name)
		}
		changes = append(changes, c)
	}
	for {
		next := noted
		next.Cursor = strings.TrimPrefix(strings.TrimPrefix(items[len(items)-1].Key, tombstone.LegacyPrefix), tombstone.Prefix)
		next.Scanned += len(items)
		next.Migrated += len(changes)
		var when []statekv.Compare
		var then []statekv.Op
		for _, c := range changes {
			when = append(when, c.when...)
			then = append(then, c.ops...)
		}
		err := m.note(ctx, &next, when, then)
		var conflict *statekv.ConflictError
		if errors.As(err, &conflict) {
			left := slices.DeleteFunc(slices.Clone(changes), func(c change) bool {
				return slices.ContainsFunc(c.when, func(w statekv.Compare) bool { return slices.Contains(conflict.Failed, w.Key) })
			})
			if len(left) < len(changes) {
				changes = left
				continue
			}
		}
		if err == nil {
			*at = next
		}
		return err
	}
}

// note writes changes together with how far the move got.
func (m *Migrator) note(ctx context.Context, at *moving, when []statekv.Compare, then []statekv.Op) error {
	if err := m.pace.WaitN(ctx, len(then)+1); err != nil {
		return err
	}
	tctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	rev, err := m.store.Txn(tctx, append([]statekv.Compare{m.member.Fence(), {Key: statekv.ClusterVersionKey, Rev: at.level}, {Key: statekv.LeaderKey, Rev: at.steward}, {Key: statekv.MigrationKey, Rev: at.rev}}, when...),
		append(then, statekv.Op{Set: statekv.MigrationKey, Value: at.Migration}))
	if err != nil {
		return fmt.Errorf("moving %d values: %w", len(then), err)
	}
	at.rev = rev
	// The next page goes by the mirror.
	return m.mirror.Wait(tctx, rev)
}
