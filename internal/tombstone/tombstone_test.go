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

// Every tombstone is decoded as what it was, in both formats, and the compact one is the
// smaller.
func TestFormatsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := tombstone.Tombstone{Status: rapid.SampledFrom([]string{job.Done, job.Cancelled}).Draw(t, "status"), Tasks: rapid.IntRange(1, job.MaxTasks).Draw(t, "tasks"),
			CompletedAtMS: rapid.SampledFrom([]int64{0, 1, 1764633600000}).Draw(t, "at")}
		sizes := []int{}
		for _, op := range tombstone.WriteOps("wk-7", r, tombstone.LegacyAndCompact) {
			raw, err := json.Marshal(op.Value)
			if err != nil {
				t.Fatal(err)
			}
			id, back, ok, err := tombstone.Parse(op.Set, raw)
			if id != "wk-7" || back != r || !ok || err != nil {
				t.Fatal(op.Set, string(raw), id, back, ok, err)
			}
			sizes = append(sizes, len(raw))
		}
		if 2*sizes[1] > sizes[0] {
			t.Fatal(sizes)
		}
	})
}

// What is damaged or of another schema is an error that names the key, and never a
// tombstone.
func TestDamagedTombstonesAreErrors(t *testing.T) {
	for key, values := range map[string][]string{
		tombstone.LegacyKey("wk-1"): {`"x"`, `{}`, `{"status":"running","tasks":3}`, `{"form":1,"status":"done","tasks":3}`, `{"status":"done","tasks":0}`},
		tombstone.Key("wk-1"):       {`{}`, `[]`, `[2,"d",3]`, `[1,"x",3]`, `[1,"d"]`, `[1,"d",0]`, `["1","d",3]`, `null`},
	} {
		for _, v := range values {
			if _, r, ok, err := tombstone.Parse(key, json.RawMessage(v)); !ok || err == nil {
				t.Errorf("%s %s: %+v", key, v, r)
			}
		}
	}
	var schemaErr *statekv.SchemaError
	if _, _, _, err := tombstone.Parse(tombstone.Key("wk-1"), json.RawMessage(`[2,"d",3]`)); !errors.As(err, &schemaErr) || schemaErr.Schema != 2 {
		t.Error(err)
	}
	if _, _, ok, _ := tombstone.Parse("robin/job/wk-1", nil); ok {
		t.Error("the key of a record was taken for a tombstone's")
	}
}

// changingStore has a tombstone change its format right before it is read.
type changingStore struct {
	*emulator.StateService
	beforeGet func()
}

func (m *changingStore) Get(ctx context.Context, key string) (statekv.KV, error) {
	if f := m.beforeGet; f != nil {
		m.beforeGet = nil
		f()
	}
	return m.StateService.Get(ctx, key)
}

// A tombstone is found whichever format it has, also if that changes between two reads;
// that there is none is answered only by one whose session goes on.
func TestReadWhileFormatChanges(t *testing.T) {
	state := &changingStore{StateService: emulator.NewStateService()}
	ctx := t.Context()
	write := func(ops ...statekv.Op) {
		t.Helper()
		if _, err := state.Txn(ctx, nil, ops); err != nil {
			t.Fatal(err)
		}
	}
	write(statekv.Op{Set: "node", Value: 1})
	alive := []statekv.Compare{{Key: "node", Rev: 2}}
	r := tombstone.Tombstone{Status: job.Done, Tasks: 5}
	write(tombstone.WriteOps("wk-1", r, tombstone.LegacyOnly)...)
	toCompact := func() {
		write(append(tombstone.WriteOps("wk-1", r, tombstone.CompactOnly), statekv.Op{Delete: tombstone.LegacyKey("wk-1")})...)
	}
	toLegacy := func() {
		write(append(tombstone.WriteOps("wk-1", r, tombstone.LegacyOnly), statekv.Op{Delete: tombstone.Key("wk-1")})...)
	}
	for _, change := range []func(){nil, toCompact, toLegacy, toCompact} {
		state.beforeGet = change
		if got, err := tombstone.Read(ctx, state, alive, "wk-1"); err != nil || got != r {
			t.Fatal(got, err)
		}
	}
	if _, err := tombstone.Read(ctx, state, alive, "wk-2"); !errors.Is(err, statekv.ErrNotFound) {
		t.Error(err)
	}
	// One that stood still while the cluster went on to formats that it does not know.
	write(statekv.Op{Delete: "node"})
	if _, err := tombstone.Read(ctx, state, alive, "wk-2"); err == nil || errors.Is(err, statekv.ErrNotFound) {
		t.Errorf("a session that ended answered that a job is unknown: %v", err)
	}
}

// The build in production decodes a tombstone with a completion time: it takes the first
// three entries of the list, and the fields that it knows.
func TestFormerBuildReadsCompletionTime(t *testing.T) {
	ops := tombstone.WriteOps("wk-7", tombstone.Tombstone{Status: job.Done, Tasks: 5, CompletedAtMS: 1764633600000}, tombstone.LegacyAndCompact)
	var was struct {
		Status string `json:"status"`
		Tasks  int    `json:"tasks"`
	}
	raw, _ := json.Marshal(ops[0].Value)
	if err := json.Unmarshal(raw, &was); err != nil || was.Status != job.Done || was.Tasks != 5 {
		t.Error(string(raw), err)
	}
	var list []json.RawMessage
	raw, _ = json.Marshal(ops[1].Value)
	if err := json.Unmarshal(raw, &list); err != nil || len(list) < 3 || string(list[0]) != "1" || string(list[1]) != `"d"` || string(list[2]) != "5" {
		t.Error(string(raw), err)
	}
}

// What one transaction could not remove, or whose writer failed before, is removed by the
// leader, within the limits; what belongs to an unfinished job stays.
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
		member, err := statekv.OpenSession(ctx, state, mirror, "host-0", 4*time.Second, statekv.Registration{})
		if err != nil {
			t.Fatal(err)
		}
		go mirror.Run(ctx)
		var epoch atomic.Uint64
		collector := &tombstone.GarbageCollector{Store: state, Mirror: mirror, Session: member, LeaderEpoch: epoch.Load, TxnOps: 8, Interval: time.Minute}
		go collector.Run(ctx)
		left := func() int {
			return len(state.ListAll(job.CompletedChunkPrefix)) + len(state.ListAll(job.SpecFragmentPrefix))
		}
		all := left()
		time.Sleep(3 * time.Minute)
		if left() != all {
			t.Fatal("it removed keys although it is not leader")
		}
		epoch.Store(1)
		time.Sleep(3 * time.Minute)
		if left() != all/3 || len(state.SizeViolations()) > 0 {
			t.Fatalf("%d of %d left, %v", left(), all, state.SizeViolations())
		}
		put(statekv.Op{Delete: job.RecordKey("wk-2")})
		time.Sleep(2 * time.Minute)
		if left() != 0 {
			t.Fatal(left())
		}
	})
}

// A mirror decodes each tombstone once, for all who watch it.
func TestMirrorParsesChangeOnce(t *testing.T) {
	parsed := 0
	state := emulator.NewStateService()
	var got []tombstone.Change
	mirror := statekv.NewMirror(state, nil, statekv.RootPrefix, time.Second, 0, func(events []statekv.Event) {
		for _, e := range events {
			for range 3 {
				if c, ok := tombstone.ChangeOf(e); ok {
					got = append(got, c)
				}
			}
		}
	})
	mirror.Parse = func(key string, raw json.RawMessage) any {
		parsed++
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
	if parsed != 2 || len(got) != 3 || got[0].ID != "wk-7" || got[0].Status != job.Done || got[0].Tasks != 5 {
		t.Errorf("%d values were decoded, changes %+v", parsed, got)
	}
}
