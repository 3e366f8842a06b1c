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

// The service lowers its limits without notice in the middle of a taking: what is refused
// as too large is written in smaller transactions, and nothing is left out. What is
// refused for another reason teaches nothing.
func TestLimitsLoweredWithoutNotice(t *testing.T) {
	state := emulator.NewStateService()
	server := httptest.NewServer(state)
	defer server.Close()
	client := statekv.NewClient(strings.TrimPrefix(server.URL, "http://"), 1e4, 1e5, 1)
	ctx := t.Context()
	mirror := statekv.NewMirror(client, []string{statekv.ClusterPrefix}, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
	if err := mirror.Load(ctx); err != nil {
		t.Fatal(err)
	}
	member, err := statekv.OpenSession(ctx, client, mirror, "host-0", 4*time.Second, statekv.Registration{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Txn(ctx, nil, []statekv.Op{{Set: "x", Value: 1, Lease: 99}}); err == nil || client.MaxTxnOps(24) != 24 {
		t.Fatalf("a lease that has ended: %v, and %d changes from then on", err, client.MaxTxnOps(24))
	}
	var roles []statekv.Role
	for k := range 50 {
		roles = append(roles, statekv.Role{Key: fmt.Sprintf("%s%d", statekv.JobShardPrefix, k), Value: member.Holder})
	}
	state.SetSizeLimits(2048, 5)
	taken, err := member.AcquireAll(ctx, roles, 24)
	if err != nil || len(taken) != 50 || client.MaxTxnOps(24) > 5+1 {
		t.Fatalf("%d taken: %v; %d changes from then on", len(taken), err, client.MaxTxnOps(24))
	}
	if over := state.SizeViolations(); len(over) > 6 {
		t.Errorf("it was refused %d times before it learned: %v", len(over), over)
	}
	// Larger again: it finds out by and by.
	state.SetSizeLimits(0, 0)
	for range 40 {
		if _, err := client.Txn(ctx, nil, make([]statekv.Op, 0)); err != nil {
			t.Fatal(err)
		}
		ops := make([]statekv.Op, client.MaxTxnOps(24))
		for k := range ops {
			ops[k] = statekv.Op{Set: fmt.Sprintf("y/%d", k), Value: k}
		}
		if _, err := client.Txn(ctx, nil, ops); err != nil {
			t.Fatal(err)
		}
	}
	if client.MaxTxnOps(24) != 24 {
		t.Error(client.MaxTxnOps(24))
	}
}
