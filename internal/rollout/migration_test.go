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

// tombstoneOf returns the tombstone of the k-th job. One of seven jobs was cancelled.
func tombstoneOf(k int) tombstone.Tombstone {
	status := job.Done
	if k%7 == 6 {
		status = job.Cancelled
	}
	return tombstone.Tombstone{Status: status, Tasks: 1 + k%300}
}

const (
	migratedJobs = 5000
	damagedJob   = 555 // index of the job whose legacy tombstone cannot be decoded
)

func migratedID(k int) string { return fmt.Sprintf("wk-%06d", k) }

// migrationScenario is a cluster with many tombstones, one of them damaged.
type migrationScenario struct {
	*testCluster
	damagedKey string
	reads      int // calls of requireReadable
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

// requireReadable asserts that a sample of the tombstones, a different one in each call, can be
// read.
func (s *migrationScenario) requireReadable() {
	s.t.Helper()
	for k := s.reads % 97; k < migratedJobs; k += 997 {
		got, err := tombstone.Read(s.ctx, s.state, nil, migratedID(k))
		if k != damagedJob && (err != nil || got != tombstoneOf(k)) {
			s.t.Fatalf("tombstone %d: got %+v (error %v), want %+v", k, got, err, tombstoneOf(k))
		}
	}
	s.reads++
}

// await reads tombstones until done returns true. It returns how long that took and how many
// operations a second the state service applied.
func (s *migrationScenario) await(what string, done func() bool) (took time.Duration, opsPerSecond float64) {
	s.t.Helper()
	start, opsBefore := time.Now(), s.state.Changes()
	for !done() {
		if time.Since(start) > time.Hour {
			s.t.Fatalf("%s is not complete after an hour", what)
		}
		time.Sleep(5 * time.Second)
		s.requireReadable()
	}
	took = time.Since(start)
	return took, float64(s.state.Changes()-opsBefore) / took.Seconds()
}

func (s *migrationScenario) count(prefix string) int { return len(s.state.ListAll(prefix)) }

func (s *migrationScenario) execute(command string) error {
	return s.controllers["host-2"].gate.Execute(s.ctx, command, "", "")
}

// copyThroughFaults runs the migration to compact tombstones through an outage, lost responses, a
// change of the leader and a lower transaction limit.
func (s *migrationScenario) copyThroughFaults() {
	s.t.Helper()
	s.await("the raise to version 4", func() bool { return s.versionNumber() == 4 })
	s.await("half of the migration", func() bool { return s.count(tombstone.Prefix) > migratedJobs/2 })
	s.state.SetOutage(true, false)
	time.Sleep(20 * time.Second)
	s.state.SetOutage(false, true) // only responses are lost: requests are carried out
	time.Sleep(20 * time.Second)
	s.state.SetOutage(false, false)
	if err := s.start("host-1", true); err != nil { // it becomes the leader
		s.t.Fatal(err)
	}
	s.limitTxnOps(5) // in the middle of the migration
	took, rate := s.await("the migration", func() bool { return s.count(tombstone.Prefix) == migratedJobs-1 })
	s.t.Logf("the second half of %d tombstones took %v, %.1f operations a second", migratedJobs, took, rate)
	if rate > 9 {
		s.t.Errorf("the migration made %.1f operations a second, want at most 9", rate)
	}
	time.Sleep(5 * time.Second)
	s.requireDamagedKept()
}

// requireDamagedKept asserts that the damaged value is unchanged and that the status reports it.
func (s *migrationScenario) requireDamagedKept() {
	s.t.Helper()
	undecodable := s.controllers["host-2"].gate.Status().Undecodable
	if len(undecodable) != 1 || undecodable[0].Key != s.damagedKey {
		s.t.Errorf("got undecodable values %v, want only %s", undecodable, s.damagedKey)
	}
	kv, err := s.state.Get(s.ctx, s.damagedKey)
	if err != nil {
		s.t.Error(err)
	}
	if string(kv.Value) != `"mangled"` {
		s.t.Errorf("the damaged value was changed to %s", kv.Value)
	}
}

// requireLegacy asserts that every tombstone but the damaged one exists in the legacy format, as
// earlier builds read it.
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
		if err != nil || json.Unmarshal(kv.Value, &legacy) != nil ||
			legacy.Tasks != want.Tasks || legacy.Status != want.Status {
			s.t.Fatalf("legacy tombstone %d: got %s (error %v), want %+v", k, kv.Value, err, want)
		}
	}
}

// Thousands of tombstones are migrated to the compact format and back, through an outage, a change
// of the leader and with a value that cannot be decoded. The migration keeps to its share of the
// write limit, and at every moment the tombstone of each job can be read.
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
		err := s.execute(rollout.CommandLower)
		if err == nil || !strings.Contains(err.Error(), "being brought back") {
			t.Errorf("lowering while legacy tombstones are missing: got error %v, want a refusal", err)
		}
		allRestored := func() bool { return s.count(tombstone.LegacyPrefix) == migratedJobs }
		s.await("the restoration of the legacy tombstones", allRestored)
		time.Sleep(5 * time.Second)
		if err := s.execute(rollout.CommandLower); err != nil {
			t.Error(err)
		}
		s.requireVersion(3, "lowered once more")
		s.requireLegacy()
	})
}

// startCopying stores a version at which the migration to compact tombstones begins, with that
// migration.
func (f *testCluster) startCopying() {
	f.t.Helper()
	version := rollout.ClusterVersion{Schema: 1, Number: 3, Features: rollout.FirstFeatures(3)}
	migration := rollout.Migration{Name: rollout.MigrationWriteCompact, Version: 3}
	f.write(
		statekv.Op{Set: statekv.ClusterVersionKey, Value: version},
		statekv.Op{Set: statekv.MigrationKey, Value: migration},
	)
}

// storedMigration returns the value of the migration's key, decoded and raw. done reports whether
// the value can be decoded and the migration is complete.
func (f *testCluster) storedMigration() (migration rollout.Migration, raw json.RawMessage, done bool) {
	f.t.Helper()
	kv, err := f.state.Get(f.ctx, statekv.MigrationKey)
	done = err == nil && json.Unmarshal(kv.Value, &migration) == nil && migration.Done
	return migration, kv.Value, done
}

// A migration that is interrupted at any moment is completed by the next leader, whether the first
// leader's session has ended or the first leader still runs: every tombstone exists in both
// formats, with the same content.
func TestMigrationResumesAfterChangeOfLeader(t *testing.T) {
	for step := range 12 {
		after := time.Duration(step) * 700 * time.Millisecond
		for _, stopFirst := range []bool{true, false} {
			runScenario(t, func(f *testCluster) { f.changeLeaderWhileCopying(after, stopFirst) })
		}
	}
}

// changeLeaderWhileCopying starts a migration and, after a delay, another leader. If stopFirst is
// set, the first leader's session ends before that.
func (f *testCluster) changeLeaderWhileCopying(after time.Duration, stopFirst bool) {
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
	if stopFirst {
		f.stop("host-0")
	}
	if err := f.start("host-1", true); err != nil {
		f.t.Fatal(err)
	}
	time.Sleep(30 * time.Second)
	if migration, raw, done := f.storedMigration(); !done || migration.Scanned != jobs {
		f.t.Fatalf("migration interrupted after %v is not complete: %s", after, raw)
	}
	for k := range jobs {
		for _, key := range []string{tombstone.Key(id(k)), tombstone.LegacyKey(id(k))} {
			kv, err := f.state.Get(f.ctx, key)
			if err != nil {
				f.t.Fatal(key, err)
			}
			if _, got, _, err := tombstone.Parse(key, kv.Value); err != nil || got != tombstoneOf(k) {
				f.t.Fatalf("%s: got %+v (error %v), want %+v", key, got, err, tombstoneOf(k))
			}
		}
	}
}

// However many values cannot be decoded, and however long their keys are, the list of them fits
// into the migration's key. If it did not, the progress could not be written and the migration
// would never complete.
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
			t.Errorf("want a complete migration in at most 4096 bytes with %d undecodable values, got %d bytes: %s",
				damaged, len(raw), raw)
		}
		if _, err := f.state.Get(f.ctx, tombstone.Key("wk-1")); err != nil {
			t.Error(err)
		}
	})
}
