package autoscaler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/policy"
	"robinstack/internal/quota"
)

func newTestFleet() *Fleet {
	settings := &config.Settings{
		CloudListLag: 4 * time.Second,
		Workers:      config.WorkerTiming{HeartbeatInterval: 3 * time.Second, LeaseDuration: 30 * time.Second},
	}
	return NewFleet(settings, policy.Default())
}

// A new leader has received no list before, so a machine counts as lost when no list shows it and
// it has been unresponsive for more than twice the list lag, or when a list shows a machine created
// later. Without this rule the leader waited for the machine's lease to expire, which stalled the
// job shards of a crashed controller for 50 s.
func TestNewLeaderDetectsDelistedMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		lossReason := func(e *agentapi.MachineEntry) string { return f.lossReason(e, 0, &Snapshot{Now: time.Now()}) }
		e := agentapi.MachineEntry{Machine: "m1", Silent: true, Settled: true}
		f.OnList(nil, time.Now())
		if reason := lossReason(&e); reason != "" {
			t.Fatalf("machine lost at once: %s; want kept until it is unresponsive for longer than lists may lag", reason)
		}
		time.Sleep(11 * time.Second)
		f.OnList(nil, time.Now())
		if lossReason(&e) == "" {
			t.Fatal("machine not lost after 11 s without being listed")
		}
		e.Machine = "m2"
		f.OnList([]cloud.Machine{{Name: "m3", Type: "box", Status: "running"}}, time.Now())
		if lossReason(&e) == "" {
			t.Fatal("machine not lost although the list shows a machine created later")
		}
	})
}

// A dead machine of a crashed owner is deleted before its lease expires, because every job of the
// crashed controller waits for the machine to be reconciled. If many machines are unreconciled they
// are kept: their new owner is more likely partitioned.
func TestUnreconciledMachinesAreLostOnlyIfFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		var entries []agentapi.MachineEntry
		for i := range 100 {
			entries = append(entries, agentapi.MachineEntry{Machine: fmt.Sprint("m", i), Rev: 1, Ver: 1, Type: "box", Settled: i >= 3, Silent: i < 3})
		}
		ledger := quota.NewLedger()
		for i := range entries {
			ledger.Apply(&entries[i])
		}
		unreconciled := 0
		lossReason := func(e *agentapi.MachineEntry) string {
			return f.lossReason(e, unreconciled, &Snapshot{Now: time.Now(), LedgerMachines: ledger.MachineCount()})
		}
		unreconciled = 2
		if lossReason(&entries[0]) == "" || lossReason(&entries[9]) != "" {
			t.Fatal("2 of 100 machines unreconciled: want the unreconciled machine lost at once and the reconciled one kept")
		}
		unreconciled = 3
		if reason := lossReason(&entries[0]); reason != "" {
			t.Fatalf("3 of 100 machines unreconciled: machine lost at once: %s", reason)
		}
		time.Sleep(4 * time.Second)
		if lossReason(&entries[0]) == "" {
			t.Fatal("3 of 100 machines unreconciled: machine not lost after 4 s")
		}
		unreconciled = 30
		if reason := lossReason(&entries[0]); reason != "" {
			t.Fatalf("30 of 100 machines unreconciled: machine lost: %s", reason)
		}
	})
}
