package ended_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"robinstack/ended"
	"robinstack/fakes"
	"robinstack/job"
	"robinstack/statekv"
)

// Every record reads as what it was, in both forms, and the new form is the smaller.
func TestForms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := ended.Record{Status: rapid.SampledFrom([]string{job.Done, job.Cancelled}).Draw(t, "status"), Tasks: rapid.IntRange(1, job.MaxTasks).Draw(t, "tasks")}
		sizes := []int{}
		for _, op := range ended.Ops("wk-7", r, ended.Both) {
			raw, err := json.Marshal(op.Value)
			if err != nil {
				t.Fatal(err)
			}
			id, back, ok, err := ended.Parse(op.Set, raw)
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

// What is damaged or of another form is an error that names the key, and never a record.
func TestUnreadableRecords(t *testing.T) {
	for key, values := range map[string][]string{
		ended.FormerKey("wk-1"): {`"x"`, `{}`, `{"status":"running","tasks":3}`, `{"form":1,"status":"done","tasks":3}`, `{"status":"done","tasks":0}`},
		ended.Key("wk-1"):       {`{}`, `[]`, `[2,"d",3]`, `[1,"x",3]`, `[1,"d"]`, `[1,"d",0]`, `["1","d",3]`, `null`},
	} {
		for _, v := range values {
			if _, r, ok, err := ended.Parse(key, json.RawMessage(v)); !ok || err == nil {
				t.Errorf("%s %s: %+v", key, v, r)
			}
		}
	}
	var form *statekv.FormError
	if _, _, _, err := ended.Parse(ended.Key("wk-1"), json.RawMessage(`[2,"d",3]`)); !errors.As(err, &form) || form.Form != 2 {
		t.Error(err)
	}
	if _, _, ok, _ := ended.Parse("robin/job/wk-1", nil); ok {
		t.Error("an open job was taken for an ended one")
	}
}

// moving has a record change its form right before it is read.
type moving struct {
	*fakes.State
	before func()
}

func (m *moving) Get(ctx context.Context, key string) (statekv.KV, error) {
	if f := m.before; f != nil {
		m.before = nil
		f()
	}
	return m.State.Get(ctx, key)
}

// A record is found whichever form it has, also if that changes between two reads; that
// there is none is said only by one whose life goes on.
func TestRead(t *testing.T) {
	state := &moving{State: fakes.NewState()}
	ctx := t.Context()
	write := func(ops ...statekv.Op) {
		t.Helper()
		if _, err := state.Txn(ctx, nil, ops); err != nil {
			t.Fatal(err)
		}
	}
	write(statekv.Op{Set: "node", Value: 1})
	alive := []statekv.Cond{{Key: "node", Rev: 2}}
	r := ended.Record{Status: job.Done, Tasks: 5}
	write(ended.Ops("wk-1", r, ended.Former)...)
	toNew := func() {
		write(append(ended.Ops("wk-1", r, ended.Compact), statekv.Op{Delete: ended.FormerKey("wk-1")})...)
	}
	toFormer := func() { write(append(ended.Ops("wk-1", r, ended.Former), statekv.Op{Delete: ended.Key("wk-1")})...) }
	for _, change := range []func(){nil, toNew, toFormer, toNew} {
		state.before = change
		if got, err := ended.Read(ctx, state, alive, "wk-1"); err != nil || got != r {
			t.Fatal(got, err)
		}
	}
	if _, err := ended.Read(ctx, state, alive, "wk-2"); !errors.Is(err, statekv.ErrNotFound) {
		t.Error(err)
	}
	// One that stood still while the fleet went on to forms that it does not know.
	write(statekv.Op{Delete: "node"})
	if _, err := ended.Read(ctx, state, alive, "wk-2"); err == nil || errors.Is(err, statekv.ErrNotFound) {
		t.Errorf("a life that is over said of a job that it is unknown: %v", err)
	}
}
