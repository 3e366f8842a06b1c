package statekv_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/emulator"
	"robinstack/internal/statekv"
)

// A role cannot be acquired from a holder whose session is alive in the state service, whatever the
// mirror shows. A session that lost a role to another controller can be aborted.
func TestRoleOfLiveHolderIsNotAcquired(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		state := emulator.NewStateService()
		empty := newMirror(state)
		holder := openSession(t, state, empty, "host-1", time.Hour)
		successor := openSession(t, state, empty, "host-0", time.Hour)
		rev, err := holder.Acquire(ctx, statekv.Role{Key: statekv.LeaderKey, Value: holder.Holder})
		if err != nil {
			t.Fatal(err)
		}
		role := statekv.Role{
			Key: statekv.LeaderKey, ExpectedRev: rev, PreviousHolder: holder.Holder, Value: successor.Holder,
		}
		if _, err := successor.Acquire(ctx, role); !statekv.IsConflict(err) {
			t.Fatalf("acquiring the role of a live holder: got error %v, want a conflict", err)
		}
		ended := make(chan error, 1)
		go func() { ended <- holder.KeepAlive(ctx) }()
		holder.Abort(context.Canceled)
		synctest.Wait()
		select {
		case <-ended:
		default:
			t.Fatal("KeepAlive goes on after Abort")
		}
	})
}

// After a crash of all controllers, several controllers compete for the same roles. A role that is
// lost to another controller, or whose previous holder is alive, must not keep the other roles of
// the transaction from being acquired, and must not take a transaction of its own.
func TestAcquireAllSkipsLostRoles(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		state := emulator.NewStateService()
		mirror := newMirror(state, statekv.ClusterPrefix)
		other := openSession(t, state, mirror, "host-1", time.Hour)
		successor := openSession(t, state, mirror, "host-0", time.Hour)
		var roles []statekv.Role
		for i := range 60 {
			roles = append(roles, statekv.Role{
				Key:            fmt.Sprintf("%s%d", statekv.MachineShardPrefix, i),
				PreviousHolder: statekv.Holder{Host: "host-9", Incarnation: 1},
				Value:          successor.Holder,
			})
		}
		roles[7].PreviousHolder = other.Holder // its session is alive, which the mirror does not show
		if _, err := other.Acquire(ctx, statekv.Role{Key: roles[30].Key, Value: other.Holder}); err != nil {
			t.Fatal(err)
		}
		before := state.Changes()
		acquired, err := successor.AcquireAll(ctx, roles, 24)
		if err != nil {
			t.Fatal(err)
		}
		changes := state.Changes() - before
		if len(acquired) != 58 || acquired[roles[7].Key] != 0 || acquired[roles[30].Key] != 0 || changes != 58 {
			t.Fatalf("acquired %d of 60 roles with %d changes, want 58 with 58", len(acquired), changes)
		}
	})
}

// Acquiring a role preserves the unknown fields of its key.
func TestAcquiredRolesPreserveUnknownFields(t *testing.T) {
	state, ctx := emulator.NewStateService(), context.Background()
	for k := range 3 {
		key := fmt.Sprintf("%ss%d", statekv.JobShardPrefix, k)
		value := map[string]any{"host": "host-9", "instance": 1, "colour": "blue"}
		commit(t, state, statekv.Op{Set: key, Value: value})
	}
	mirror := newMirror(state, statekv.ClusterPrefix)
	load(t, mirror)
	session := openSession(t, state, mirror, "host-0", time.Hour)
	var roles []statekv.Role
	for _, kv := range mirror.Dir(statekv.JobShardPrefix) {
		roles = append(roles, statekv.Role{Key: kv.Key, ExpectedRev: kv.Rev, Value: session.Holder})
	}
	if _, err := session.Acquire(ctx, roles[0]); err != nil {
		t.Fatal(err)
	}
	if acquired, err := session.AcquireAll(ctx, roles[1:], 24); err != nil || len(acquired) != 2 {
		t.Fatalf("acquired %v, error %v; want 2 roles", acquired, err)
	}
	for _, kv := range state.ListAll(statekv.JobShardPrefix) {
		var v struct {
			statekv.Holder
			Colour string `json:"colour"`
		}
		if json.Unmarshal(kv.Value, &v) != nil || v.Colour != "blue" || v.Holder != session.Holder {
			t.Errorf("%s: got %s, want holder %v and colour blue", kv.Key, kv.Value, session.Holder)
		}
	}
}

// A role key with a later schema version is reported as a *SchemaError, a malformed role key is
// not.
func TestRoleOfLaterSchemaIsSchemaError(t *testing.T) {
	var later *statekv.SchemaError
	_, err := statekv.HolderOf(statekv.KV{Value: json.RawMessage(`{"form":1,"host":"x"}`)})
	if !errors.As(err, &later) || later.Schema != 1 || later.MaxSchema != statekv.RoleSchema {
		t.Errorf("role key of a later schema: got error %v, want a *SchemaError", err)
	}
	_, err = statekv.HolderOf(statekv.KV{Value: json.RawMessage(`"x"`)})
	if err == nil || errors.As(err, &later) {
		t.Errorf("malformed role key: got error %v, want an error other than *SchemaError", err)
	}
}
