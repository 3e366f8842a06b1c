package statekv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"robinstack/test/wireformat"
)

func TestWireForms(t *testing.T) {
	wireformat.CheckJSON[KV](t, "kv")
	wireformat.CheckJSON[Compare](t, "condition")
	wireformat.CheckJSON[Op](t, "operation")
	wireformat.CheckJSON[Event](t, "event")
	wireformat.CheckJSON[Page](t, "page")
	wireformat.CheckJSON[WatchResponse](t, "news")
	wireformat.CheckJSON[Holder](t, "role-key")
	wireformat.CheckJSON[Rejection](t, "refusal")
	wireformat.CheckGolden(t, "keys", strings.Join([]string{
		RootPrefix, ClusterPrefix, SessionPrefix, JobShardPrefix, MachinePrefix, MachineShardPrefix,
		LeaderKey, MachineTypesKey, ClusterVersionKey, MembershipKey, MigrationKey,
	}, "\n")+"\n")
}

func TestWireStoredForms(t *testing.T) {
	if got := SchemaOf(json.RawMessage(`{"form":7}`)); got != 7 {
		t.Errorf("schema version: got %d, want 7", got)
	}
	raw, err := json.Marshal(PreserveUnknownFields(json.RawMessage(`{"host":"h","later":[1]}`), Holder{Host: "g", Incarnation: 2}))
	if want := `{"host":"g","instance":2,"later":[1]}`; err != nil || string(raw) != want {
		t.Errorf("object with unknown fields: got %s, error %v; want %s", raw, err, want)
	}
}

// errorKind names the kind of an error, as callers distinguish it.
func errorKind(err error) string {
	var conflict *ConflictError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return fmt.Sprintf("conflict %v", conflict.Failed)
	case errors.Is(err, ErrNotFound):
		return "not found"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.Is(err, ErrTooLarge):
		return "too large"
	case errors.Is(err, ErrRejected):
		return "refused"
	}
	return "unknown"
}

func TestWireRequests(t *testing.T) {
	server := wireformat.NewRecordingServer(t,
		`200 {"path":"a/b","data":{"x":1},"key_rev":412,"grant":7}`,
		`200 {"items":[{"path":"c/8","data":2,"key_rev":9}],"truncated":true,"ledger_rev":431}`,
		`200 {"ledger_rev":432}`, `409 {"failed":["a/b"],"ledger_rev":431}`,
		`400 {"error":"no such lease"}`, `400 {"error":"too large"}`,
		`200 {"grant":7}`, `200 {}`, `200 {}`,
		`200 {"ledger_rev":433,"news":[{"set":"c/9","data":{},"key_rev":433},{"delete":"c/d","key_rev":432}]}`,
		`404 {}`, `410 {}`, `429 {}`, `503 {}`)
	c := NewClient(server.Address(), 1000, 1000, 1)
	ctx := context.Background()
	record := func(v any, err error) { server.Recordf("  %s %s", wireformat.IndentJSON(t, v), errorKind(err)) }

	record(c.Get(ctx, "a/b"))
	record(c.List(ctx, "c/", "c/7"))
	conditions := []Compare{{Key: "a/b", Rev: 3}}
	changes := []Op{{Set: "a/b", Value: map[string]int{"x": 1}, Lease: 7}, {Delete: "c/d"}}
	for range 4 {
		record(c.Txn(ctx, conditions, changes))
	}
	record(c.Grant(ctx, 5*time.Second))
	record(nil, c.Renew(ctx, 7))
	record(nil, c.Revoke(ctx, 7))
	for range 2 {
		record(c.Watch(ctx, "c/", 431, 10*time.Second))
	}
	for range 3 {
		record(c.Get(ctx, "a/b"))
	}
	wireformat.CheckGolden(t, "requests", server.Record())
}
