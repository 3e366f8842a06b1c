package tombstone_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

// Every tombstone is decoded unchanged from both formats. The compact format takes at most half the
// size of the legacy one.
func TestFormatsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := tombstone.Tombstone{Status: rapid.SampledFrom([]string{job.Done, job.Cancelled}).Draw(t, "status"), Tasks: rapid.IntRange(1, job.MaxTasks).Draw(t, "tasks"),
			CompletedAtMS: rapid.SampledFrom([]int64{0, 1, 1764633600000}).Draw(t, "at")}
		sizes := []int{}
		for _, op := range tombstone.WriteOps("wk-7", want, tombstone.LegacyAndCompact) {
			raw, err := json.Marshal(op.Value)
			if err != nil {
				t.Fatal(err)
			}
			id, got, ok, err := tombstone.Parse(op.Set, raw)
			if id != "wk-7" || got != want || !ok || err != nil {
				t.Fatalf("%s %s: got %s, %+v, %t, %v; want wk-7, %+v", op.Set, raw, id, got, ok, err, want)
			}
			sizes = append(sizes, len(raw))
		}
		if 2*sizes[1] > sizes[0] {
			t.Fatalf("got %d bytes in the legacy and %d in the compact format, want at most half", sizes[0], sizes[1])
		}
	})
}

// A value that is damaged or of an unknown schema version is decoded to an error and never to a
// tombstone.
func TestParseRejectsDamagedTombstones(t *testing.T) {
	for key, values := range map[string][]string{
		tombstone.LegacyKey("wk-1"): {`"x"`, `{}`, `{"status":"running","tasks":3}`, `{"form":1,"status":"done","tasks":3}`, `{"status":"done","tasks":0}`},
		tombstone.Key("wk-1"):       {`{}`, `[]`, `[2,"d",3]`, `[1,"x",3]`, `[1,"d"]`, `[1,"d",0]`, `["1","d",3]`, `null`},
	} {
		for _, value := range values {
			if _, got, ok, err := tombstone.Parse(key, json.RawMessage(value)); !ok || err == nil {
				t.Errorf("%s %s: got %+v, %t, %v; want an error", key, value, got, ok, err)
			}
		}
	}
	var schemaErr *statekv.SchemaError
	if _, _, _, err := tombstone.Parse(tombstone.Key("wk-1"), json.RawMessage(`[2,"d",3]`)); !errors.As(err, &schemaErr) || schemaErr.Schema != 2 {
		t.Errorf("tombstone of schema 2: got error %v, want a SchemaError", err)
	}
	if _, _, ok, _ := tombstone.Parse("robin/job/wk-1", nil); ok {
		t.Error("key of a job record: got a tombstone, want none")
	}
}

// formatChangingStore changes the format of a tombstone right before a read.
type formatChangingStore struct {
	*emulator.StateService
	beforeGet func()
}

func (s *formatChangingStore) Get(ctx context.Context, key string) (statekv.KV, error) {
	if change := s.beforeGet; change != nil {
		s.beforeGet = nil
		change()
	}
	return s.StateService.Get(ctx, key)
}

// A tombstone is found in either format, also if the format changes between the two requests of a
// read. Only a reader whose session has not ended reports that there is none.
func TestReadWhileFormatChanges(t *testing.T) {
	state := &formatChangingStore{StateService: emulator.NewStateService()}
	ctx := t.Context()
	write := func(ops ...statekv.Op) {
		t.Helper()
		if _, err := state.Txn(ctx, nil, ops); err != nil {
			t.Fatal(err)
		}
	}
	write(statekv.Op{Set: "node", Value: 1})
	fence := []statekv.Compare{{Key: "node", Rev: 2}}
	want := tombstone.Tombstone{Status: job.Done, Tasks: 5}
	write(tombstone.WriteOps("wk-1", want, tombstone.LegacyOnly)...)
	toCompact := func() {
		write(append(tombstone.WriteOps("wk-1", want, tombstone.CompactOnly), statekv.Op{Delete: tombstone.LegacyKey("wk-1")})...)
	}
	toLegacy := func() {
		write(append(tombstone.WriteOps("wk-1", want, tombstone.LegacyOnly), statekv.Op{Delete: tombstone.Key("wk-1")})...)
	}
	for _, change := range []func(){nil, toCompact, toLegacy, toCompact} {
		state.beforeGet = change
		if got, err := tombstone.Read(ctx, state, fence, "wk-1"); err != nil || got != want {
			t.Fatalf("got %+v, %v; want %+v", got, err, want)
		}
	}
	if _, err := tombstone.Read(ctx, state, fence, "wk-2"); !errors.Is(err, statekv.ErrNotFound) {
		t.Errorf("unknown job: got error %v, want ErrNotFound", err)
	}
	// A controller that was paused while the cluster moved to an unknown format has lost its
	// session.
	write(statekv.Op{Delete: "node"})
	if _, err := tombstone.Read(ctx, state, fence, "wk-2"); err == nil || errors.Is(err, statekv.ErrNotFound) {
		t.Errorf("unknown job after the end of the session: got error %v, want one other than ErrNotFound", err)
	}
}

// The build in production can decode a tombstone with a completion time: of a compact tombstone it
// reads only the first three entries of the list, and of a legacy one only the fields that it
// knows.
func TestPreviousBuildReadsCompletionTime(t *testing.T) {
	ops := tombstone.WriteOps("wk-7", tombstone.Tombstone{Status: job.Done, Tasks: 5, CompletedAtMS: 1764633600000}, tombstone.LegacyAndCompact)
	var legacy struct {
		Status string `json:"status"`
		Tasks  int    `json:"tasks"`
	}
	raw, _ := json.Marshal(ops[0].Value)
	if err := json.Unmarshal(raw, &legacy); err != nil || legacy.Status != job.Done || legacy.Tasks != 5 {
		t.Errorf("legacy tombstone %s: got %+v, %v; want done with 5 tasks", raw, legacy, err)
	}
	var list []json.RawMessage
	raw, _ = json.Marshal(ops[1].Value)
	if err := json.Unmarshal(raw, &list); err != nil || len(list) < 3 || string(list[0]) != "1" || string(list[1]) != `"d"` || string(list[2]) != "5" {
		t.Errorf("compact tombstone %s: got error %v, want the entries 1, \"d\" and 5 first", raw, err)
	}
}

// While its controller is leader, the collector deletes the keys that final transactions had no
// room to delete, within the transaction limits. The keys of unfinished jobs are kept.
func TestGarbageCollection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		state := emulator.NewStateService()
		put := func(ops ...statekv.Op) {
			if _, err := state.Txn(ctx, nil, ops); err != nil {
				t.Fatal(err)
			}
		}
		for _, id := range []string{"wk-1", "wk-2", "wk-3"} {
			for _, key := range job.AuxiliaryKeys(id, job.MaxTasks, 5) {
				put(statekv.Op{Set: key, Value: "x"})
			}
		}
		put(statekv.Op{Set: job.RecordKey("wk-2"), Value: 1})
		state.SetSizeLimits(2048, 8)
		mirror := statekv.NewMirror(state, []string{statekv.ClusterPrefix, job.RecordPrefix}, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
		if err := mirror.Load(ctx); err != nil {
			t.Fatal(err)
		}
		session, err := statekv.OpenSession(ctx, state, mirror, "host-0", 4*time.Second, statekv.Registration{})
		if err != nil {
			t.Fatal(err)
		}
		go mirror.Run(ctx)
		var leaderEpoch atomic.Uint64
		collector := &tombstone.GarbageCollector{Store: state, Mirror: mirror, Session: session, LeaderEpoch: leaderEpoch.Load, MaxTxnOps: 8, Interval: time.Minute}
		go collector.Run(ctx)
		remaining := func() int {
			return len(state.ListAll(job.CompletedChunkPrefix)) + len(state.ListAll(job.SpecFragmentPrefix))
		}
		total := remaining()
		time.Sleep(3 * time.Minute)
		if remaining() != total {
			t.Fatalf("got %d of %d keys while the controller is not leader, want all", remaining(), total)
		}
		leaderEpoch.Store(1)
		time.Sleep(3 * time.Minute)
		if remaining() != total/3 || len(state.SizeViolations()) > 0 {
			t.Fatalf("got %d of %d keys and size violations %v, want a third of the keys and no violations",
				remaining(), total, state.SizeViolations())
		}
		put(statekv.Op{Delete: job.RecordKey("wk-2")})
		time.Sleep(2 * time.Minute)
		if remaining() != 0 {
			t.Fatalf("got %d keys after the last job has finished, want none", remaining())
		}
	})
}

// A mirror decodes each tombstone once for all consumers of its events.
func TestMirrorParsesChangeOnce(t *testing.T) {
	parseCalls := 0
	state := emulator.NewStateService()
	var changes []tombstone.Change
	mirror := statekv.NewMirror(state, nil, statekv.RootPrefix, time.Second, 0, func(events []statekv.Event) {
		for _, e := range events {
			for range 3 {
				if c, ok := tombstone.ChangeOf(e); ok {
					changes = append(changes, c)
				}
			}
		}
	})
	mirror.Parse = func(key string, raw json.RawMessage) any {
		parseCalls++
		return tombstone.ParseChange(key, raw)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if err := mirror.Load(ctx); err != nil {
		t.Fatal(err)
	}
	ops := append(tombstone.WriteOps("wk-7", tombstone.Tombstone{Status: job.Done, Tasks: 5}, tombstone.LegacyOnly), statekv.Op{Set: "robin/job/wk-8", Value: 1})
	rev, err := state.Txn(ctx, nil, ops)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); mirror.Run(ctx) }()
	if err := mirror.Wait(ctx, rev); err != nil {
		t.Fatal(err)
	}
	cancel()
	<-done
	if parseCalls != 2 || len(changes) != 3 || changes[0].ID != "wk-7" || changes[0].Status != job.Done || changes[0].Tasks != 5 {
		t.Errorf("got %d decoded values and changes %+v, want 2 values and 3 changes of wk-7", parseCalls, changes)
	}
}
