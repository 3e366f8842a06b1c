package rollout_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"robinstack/internal/job"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// tombstoneOf is the tombstone of the k-th job: one of seven was cancelled.
func tombstoneOf(k int) tombstone.Tombstone {
	status := job.Done
	if k%7 == 6 {
		status = job.Cancelled
	}
	return tombstone.Tombstone{Status: status, Tasks: 1 + k%300}
}

const (
	migratedJobs = 5000
	damagedJob   = 555 // whose legacy tombstone cannot be decoded
)

func migratedID(k int) string { return fmt.Sprintf("wk-%06d", k) }

// migrationScenario is a cluster with many tombstones of which one is damaged.
type migrationScenario struct {
	*testCluster
	damagedKey string
	rounds     int // of readAll
}

func startMigrationScenario(f *testCluster) *migrationScenario {
	f.t.Helper()
	s := &migrationScenario{testCluster: f, damagedKey: tombstone.LegacyKey(migratedID(damagedJob))}
	for k := range migratedJobs {
		f.write(tombstone.WriteOps(migratedID(k), tombstoneOf(k), tombstone.LegacyOnly)...)
	}
	f.write(statekv.Op{Set: s.damagedKey, Value: "mangled"})
	f.startAll()
	return s
}

// requireReadable asserts that jobs are found; which ones differs from round to round.
func (s *migrationScenario) requireReadable() {
	s.t.Helper()
	for k := s.rounds % 97; k < migratedJobs; k += 997 {
		stone, err := tombstone.Read(s.ctx, s.state, nil, migratedID(k))
		if k != damagedJob && (err != nil || stone != tombstoneOf(k)) {
			s.t.Fatal(k, stone, err)
		}
	}
	s.rounds++
}

// await waits until done while jobs are read, and returns how long it took and how many
// changes a second were made.
func (s *migrationScenario) await(what string, done func() bool) (took time.Duration, perSecond float64) {
	s.t.Helper()
	from, changes := time.Now(), s.state.Changes()
	for !done() {
		if time.Since(from) > time.Hour {
			s.t.Fatalf("%s is not done after an hour", what)
		}
		time.Sleep(5 * time.Second)
		s.requireReadable()
	}
	took = time.Since(from)
	return took, float64(s.state.Changes()-changes) / took.Seconds()
}

func (s *migrationScenario) count(prefix string) int { return len(s.state.ListAll(prefix)) }

func (s *migrationScenario) execute(command string) error {
	return s.controllers["host-2"].gate.Execute(s.ctx, command, "", "")
}

// copyThroughFaults has compact tombstones written through an outage, lost responses, a
// change of the leader and a lower limit of transactions.
func (s *migrationScenario) copyThroughFaults() {
	s.t.Helper()
	s.await("the raise", func() bool { return s.versionNumber() == 4 })
	s.await("half of the migration", func() bool { return s.count(tombstone.Prefix) > migratedJobs/2 })
	s.state.SetOutage(true, false)
	time.Sleep(20 * time.Second)
	s.state.SetOutage(false, true) // responses are lost: what was sent is carried out
	time.Sleep(20 * time.Second)
	s.state.SetOutage(false, false)
	if err := s.start("host-1", true); err != nil { // which is leader now
		s.t.Fatal(err)
	}
	s.limitTxnOps(5) // in the middle of it
	took, rate := s.await("the migration", func() bool { return s.count(tombstone.Prefix) == migratedJobs-1 })
	s.t.Logf("the second half of %d tombstones took %v, %.1f changes a second", migratedJobs, took, rate)
	if rate > 9 {
		s.t.Errorf("%.1f changes a second", rate)
	}
	time.Sleep(5 * time.Second)
	s.requireDamagedKept()
}

// requireDamagedKept asserts that the damaged value is as it was, and reported.
func (s *migrationScenario) requireDamagedKept() {
	s.t.Helper()
	undecodable := s.controllers["host-2"].gate.Status().Undecodable
	if len(undecodable) != 1 || undecodable[0].Key != s.damagedKey {
		s.t.Errorf("reported as undecodable: %v", undecodable)
	}
	kv, err := s.state.Get(s.ctx, s.damagedKey)
	if err != nil {
		s.t.Error(err)
	}
	if string(kv.Value) != `"mangled"` {
		s.t.Errorf("the damaged value became %s", kv.Value)
	}
}

// requireLegacy asserts that every tombstone has its legacy form, as the former build
// reads it.
func (s *migrationScenario) requireLegacy() {
	s.t.Helper()
	for k := range migratedJobs {
		if k == damagedJob {
			continue
		}
		kv, err := s.state.Get(s.ctx, tombstone.LegacyKey(migratedID(k)))
		var legacy struct {
			Status string `json:"status"`
			Tasks  int    `json:"tasks"`
		}
		want := tombstoneOf(k)
		if err != nil || json.Unmarshal(kv.Value, &legacy) != nil || legacy.Tasks != want.Tasks || legacy.Status != want.Status {
			s.t.Fatal(k, string(kv.Value), err)
		}
	}
}

// Thousands of tombstones are migrated, through an outage, a change of the leader and a
// value that cannot be decoded, and back again; the share of the write limit is kept. Whoever
// reads finds every job at every moment.
func TestTombstonesAreMigratedAndRestored(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		s := startMigrationScenario(f)
		s.copyThroughFaults()
		if err := s.execute(rollout.CommandRaise); err != nil {
			t.Fatal(err)
		}
		s.await("the irreversible raise", func() bool { return s.versionNumber() == 5 })
		onlyDamaged := func() bool { return s.count(tombstone.LegacyPrefix) == 1 }
		s.await("the deletion of the legacy tombstones", onlyDamaged)
		if err := s.execute(rollout.CommandLower); err != nil {
			t.Fatal(err)
		}
		s.requireVersion(4, "lowered")
		time.Sleep(5 * time.Second)
		if err := s.execute(rollout.CommandLower); err == nil || !strings.Contains(err.Error(), "being brought back") {
			t.Errorf("the version was lowered while legacy tombstones are missing: %v", err)
		}
		s.await("restoring them", func() bool { return s.count(tombstone.LegacyPrefix) == migratedJobs })
		time.Sleep(5 * time.Second)
		if err := s.execute(rollout.CommandLower); err != nil {
			t.Error(err)
		}
		s.requireVersion(3, "lowered once more")
		s.requireLegacy()
	})
}

// startCopying stores a version at which a migration to compact tombstones begins.
func (f *testCluster) startCopying() {
	f.t.Helper()
	version := rollout.ClusterVersion{Schema: 1, Number: 3, Features: rollout.FeaturesAt(3)}
	migration := rollout.Migration{Name: rollout.MigrationCopy, Version: 3}
	f.write(statekv.Op{Set: statekv.ClusterVersionKey, Value: version}, statekv.Op{Set: statekv.MigrationKey, Value: migration})
}

// storedMigration returns the value of the migration's key, decoded and raw, and whether it
// can be decoded and the migration is done.
func (f *testCluster) storedMigration() (migration rollout.Migration, raw json.RawMessage, done bool) {
	f.t.Helper()
	kv, err := f.state.Get(f.ctx, statekv.MigrationKey)
	done = err == nil && json.Unmarshal(kv.Value, &migration) == nil && migration.Done
	return migration, kv.Value, done
}

// A migration that is stopped at any moment, by the end of its leader or by another one
// that takes the role while the first goes on, is finished by the next: every tombstone is
// there once, in both formats, as it was.
func TestMigrationResumesAfterChangeOfLeader(t *testing.T) {
	for steps := range 12 {
		after := time.Duration(steps) * 700 * time.Millisecond
		for _, ends := range []bool{true, false} {
			runScenario(t, func(f *testCluster) { f.changeLeaderWhileCopying(after, ends) })
		}
	}
}

// changeLeaderWhileCopying starts a migration and, after a while, another leader; the
// session of the first one ends if ends is set.
func (f *testCluster) changeLeaderWhileCopying(after time.Duration, ends bool) {
	f.t.Helper()
	const jobs = 60
	id := func(k int) string { return fmt.Sprintf("wk-%03d", k) }
	for k := range jobs {
		f.write(tombstone.WriteOps(id(k), tombstoneOf(k), tombstone.LegacyOnly)...)
	}
	f.startCopying()
	if err := f.start("host-0", true); err != nil {
		f.t.Fatal(err)
	}
	time.Sleep(after)
	if ends {
		f.stop("host-0")
	}
	if err := f.start("host-1", true); err != nil {
		f.t.Fatal(err)
	}
	time.Sleep(30 * time.Second)
	if migration, raw, done := f.storedMigration(); !done || migration.Scanned != jobs {
		f.t.Fatalf("stopped after %v: %s", after, raw)
	}
	for k := range jobs {
		for _, key := range []string{tombstone.Key(id(k)), tombstone.LegacyKey(id(k))} {
			kv, err := f.state.Get(f.ctx, key)
			if err != nil {
				f.t.Fatal(key, err)
			}
			if _, stone, _, err := tombstone.Parse(key, kv.Value); err != nil || stone != tombstoneOf(k) {
				f.t.Fatal(key, stone, err)
			}
		}
	}
}

// However many values cannot be decoded, and however long their keys are, what is noted of
// them fits into the migration's key, so that the migration goes on to its end.
func TestUndecodableValuesDoNotStopMigration(t *testing.T) {
	runScenario(t, func(f *testCluster) {
		const damaged = 40
		for k := range damaged {
			key := tombstone.LegacyPrefix + fmt.Sprintf("%03d", k)
			f.write(statekv.Op{Set: key + strings.Repeat("x", 200-len(key)), Value: "mangled"})
		}
		f.write(tombstone.WriteOps("wk-1", tombstoneOf(1), tombstone.LegacyOnly)...)
		f.startCopying()
		if err := f.start("host-0", true); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if migration, raw, done := f.storedMigration(); !done || migration.Undecodable != damaged || len(raw) > 4096 {
			t.Errorf("%d bytes: %s", len(raw), raw)
		}
		if _, err := f.state.Get(f.ctx, tombstone.Key("wk-1")); err != nil {
			t.Error(err)
		}
	})
}
