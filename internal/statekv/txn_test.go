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

// The service lowers its limits without notice while roles are acquired. Rejected transactions are
// repeated in smaller ones and no role is left out. A transaction rejected for another reason does
// not lower the limit.
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
		t.Fatalf("transaction with an ended lease: got error %v and limit %d, want an error and limit 24",
			err, client.MaxTxnOps(24))
	}
	var roles []statekv.Role
	for k := range 50 {
		roles = append(roles, statekv.Role{Key: fmt.Sprintf("%s%d", statekv.JobShardPrefix, k), Value: session.Holder})
	}
	state.SetSizeLimits(2048, 5)
	acquired, err := session.AcquireAll(ctx, roles, 24)
	if err != nil || len(acquired) != 50 || client.MaxTxnOps(24) > 5+1 {
		t.Fatalf("acquired %d of 50 roles, error %v; limit %d, want at most 6", len(acquired), err, client.MaxTxnOps(24))
	}
	if over := state.SizeViolations(); len(over) > 6 {
		t.Errorf("%d transactions were too large, want at most 6: %v", len(over), over)
	}
	// After the limits are raised, transactions grow by one change at a time.
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
		t.Errorf("limit after the service raised its limits: got %d, want 24", client.MaxTxnOps(24))
	}
}

// The function set by WithOnSend is called when a transaction is sent, and only then.
func TestOnSendIsCalledWhenTransactionIsSent(t *testing.T) {
	server := httptest.NewServer(emulator.NewStateService())
	defer server.Close()
	client := statekv.NewClient(strings.TrimPrefix(server.URL, "http://"), 1e4, 1e5, 1)
	sent := 0
	ctx := statekv.WithOnSend(t.Context(), func() { sent++ })
	if _, err := client.List(ctx, statekv.ClusterPrefix, ""); err != nil || sent != 0 {
		t.Errorf("after a listing: error %v, OnSend called %d times, want 0", err, sent)
	}
	if _, err := client.Txn(ctx, nil, []statekv.Op{{Set: "x", Value: 1}}); err != nil || sent != 1 {
		t.Errorf("after a transaction: error %v, OnSend called %d times, want 1", err, sent)
	}
	commit(t, client, statekv.Op{Set: "x", Value: 2})
	if sent != 1 {
		t.Errorf("after a transaction with another context: OnSend called %d times, want 1", sent)
	}
}
