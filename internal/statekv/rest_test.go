package statekv_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robinstack/emulator"
	"robinstack/internal/statekv"
)

type inner struct {
	Host string `json:"host"`
}

type known struct {
	inner
	Index int    `json:"index"`
	Note  string `json:"note,omitempty"`
}

// Whatever a later version wrote beside what this one knows is there after a rewrite,
// and what this one knows is as it wrote it, also where that is nothing.
func TestRewritesKeepWhatTheyDoNotKnow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		later := rapid.MapOf(rapid.StringMatching(`[a-z]{1,6}`), rapid.Int()).Draw(t, "later")
		was := map[string]any{"host": "a", "index": 3, "note": "gone"}
		for name, v := range later {
			if name != "host" && name != "index" && name != "note" {
				was[name] = v
			}
		}
		raw, _ := json.Marshal(was)
		out, err := json.Marshal(statekv.PreserveUnknown(raw, known{inner: inner{"b"}, Index: 4}))
		if err != nil {
			t.Fatal(err)
		}
		was["host"], was["index"] = "b", 4
		delete(was, "note")
		want, _ := json.Marshal(was)
		var a, b map[string]any
		if json.Unmarshal(out, &a) != nil || json.Unmarshal(want, &b) != nil || !reflect.DeepEqual(a, b) {
			t.Fatalf("%s became %s", raw, out)
		}
	})
	for _, none := range []string{`[1]`, `"x"`, `null`, ``} {
		if rest := statekv.UnknownFieldsOf(json.RawMessage(none), known{}); rest != nil {
			t.Errorf("%q has %v", none, rest)
		}
	}
}

// Roles are taken over with the unknown fields of their keys; one of a form that this
// build does not know is told from a damaged one.
func TestRolesKeepWhatTheyDoNotKnow(t *testing.T) {
	state, ctx := emulator.NewStateService(), context.Background()
	for k := range 3 {
		key := fmt.Sprintf("%ss%d", statekv.JobShardPrefix, k)
		if _, err := state.Txn(ctx, nil, []statekv.Op{{Set: key, Value: map[string]any{"host": "host-9", "instance": 1, "colour": "blue"}}}); err != nil {
			t.Fatal(err)
		}
	}
	mirror := statekv.NewMirror(state, []string{statekv.ClusterPrefix}, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
	if err := mirror.Load(ctx); err != nil {
		t.Fatal(err)
	}
	m, err := statekv.OpenSession(ctx, state, mirror, "host-0", time.Hour, statekv.Registration{})
	if err != nil {
		t.Fatal(err)
	}
	var roles []statekv.Role
	for _, kv := range mirror.Dir(statekv.JobShardPrefix) {
		roles = append(roles, statekv.Role{Key: kv.Key, ExpectedRev: kv.Rev, Value: m.Holder})
	}
	if _, err := m.Acquire(ctx, roles[0]); err != nil {
		t.Fatal(err)
	}
	if taken, err := m.AcquireAll(ctx, roles[1:], 24); err != nil || len(taken) != 2 {
		t.Fatal(taken, err)
	}
	for _, kv := range state.ListAll(statekv.JobShardPrefix) {
		var v struct {
			statekv.Holder
			Colour string `json:"colour"`
		}
		if json.Unmarshal(kv.Value, &v) != nil || v.Colour != "blue" || v.Holder != m.Holder {
			t.Errorf("%s: %s", kv.Key, kv.Value)
		}
	}
	var later *statekv.SchemaError
	if _, err := statekv.HolderOf(statekv.KV{Value: json.RawMessage(`{"form":1,"host":"x"}`)}); !errors.As(err, &later) {
		t.Error(err)
	}
	if _, err := statekv.HolderOf(statekv.KV{Value: json.RawMessage(`"x"`)}); err == nil || errors.As(err, &later) {
		t.Error(err)
	}
}
