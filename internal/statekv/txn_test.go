package statekv_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/statekv"
)

// The service lowers its limits without notice while roles are acquired: what is rejected as too
// large is written in smaller transactions, and nothing is left out. What is rejected for another
// reason lowers nothing.
func TestTransactionSizeFollowsLoweredLimits(t *testing.T) {
	state := emulator.NewStateService()
	server := httptest.NewServer(state)
	defer server.Close()
	client := statekv.NewClient(strings.TrimPrefix(server.URL, "http://"), 1e4, 1e5, 1)
	ctx := t.Context()
	mirror := newMirror(client, statekv.ClusterPrefix)
	load(t, mirror)
	session := openSession(t, client, mirror, "host-0", 4*time.Second)
	if _, err := client.Txn(ctx, nil, []statekv.Op{{Set: "x", Value: 1, Lease: 99}}); err == nil || client.MaxTxnOps(24) != 24 {
		t.Fatalf("a lease that has ended: %v, and %d changes from then on", err, client.MaxTxnOps(24))
	}
	var roles []statekv.Role
	for k := range 50 {
		roles = append(roles, statekv.Role{Key: fmt.Sprintf("%s%d", statekv.JobShardPrefix, k), Value: session.Holder})
	}
	state.SetSizeLimits(2048, 5)
	acquired, err := session.AcquireAll(ctx, roles, 24)
	if err != nil || len(acquired) != 50 || client.MaxTxnOps(24) > 5+1 {
		t.Fatalf("%d acquired: %v; %d changes from then on", len(acquired), err, client.MaxTxnOps(24))
	}
	if over := state.SizeViolations(); len(over) > 6 {
		t.Errorf("it was rejected %d times before it learned: %v", len(over), over)
	}
	// Larger again: transactions grow one by one.
	state.SetSizeLimits(0, 0)
	for range 40 {
		if _, err := client.Txn(ctx, nil, make([]statekv.Op, 0)); err != nil {
			t.Fatal(err)
		}
		ops := make([]statekv.Op, client.MaxTxnOps(24))
		for k := range ops {
			ops[k] = statekv.Op{Set: fmt.Sprintf("y/%d", k), Value: k}
		}
		commit(t, client, ops...)
	}
	if client.MaxTxnOps(24) != 24 {
		t.Error(client.MaxTxnOps(24))
	}
}

// Who asks for it is called when a transaction goes out, and only then.
func TestOnSendIsCalledWhenATransactionGoesOut(t *testing.T) {
	server := httptest.NewServer(emulator.NewStateService())
	defer server.Close()
	client := statekv.NewClient(strings.TrimPrefix(server.URL, "http://"), 1e4, 1e5, 1)
	sent := 0
	ctx := statekv.WithOnSend(t.Context(), func() { sent++ })
	if _, err := client.List(ctx, statekv.ClusterPrefix, ""); err != nil || sent != 0 {
		t.Errorf("a listing: %v, %d sent", err, sent)
	}
	if _, err := client.Txn(ctx, nil, []statekv.Op{{Set: "x", Value: 1}}); err != nil || sent != 1 {
		t.Errorf("a transaction: %v, %d sent", err, sent)
	}
	commit(t, client, statekv.Op{Set: "x", Value: 2})
	if sent != 1 {
		t.Errorf("%d sent, with a transaction of another context", sent)
	}
}
