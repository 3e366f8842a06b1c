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

// A new leader has seen no list before; an unresponsive machine that no list shows for
// longer than lists may lag is lost. Waiting out its lease stalled the job shards of a
// crashed controller for fifty seconds.
func TestNewLeaderSeesThatAnUnresponsiveMachineIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		isLost := func(e *agentapi.MachineEntry) string { return f.lossReason(e, 0, &Snapshot{Now: time.Now()}) }
		e := agentapi.MachineEntry{Machine: "m1", Silent: true, Settled: true}
		f.OnList(nil, time.Now())
		if why := isLost(&e); why != "" {
			t.Fatalf("at once: %s", why)
		}
		time.Sleep(11 * time.Second)
		f.OnList(nil, time.Now())
		if isLost(&e) == "" {
			t.Fatal("still waited for")
		}
		e.Machine = "m2"
		f.OnList([]cloud.Machine{{Name: "m3", Type: "box", Status: "running"}}, time.Now())
		if isLost(&e) == "" {
			t.Fatal("a list that shows a younger machine would show this one")
		}
	})
}

// A dead machine of a crashed owner held up every job of that controller until
// its lease had run out: it is deleted, unless so many do not answer that it is
// rather their new owner that is cut off.
func TestMachinesThatDoNotAnswerTheirNewOwner(t *testing.T) {
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
		isLost := func(e *agentapi.MachineEntry) string {
			return f.lossReason(e, unreconciled, &Snapshot{Now: time.Now(), LedgerMachines: ledger.MachineCount()})
		}
		unreconciled = 2
		if isLost(&entries[0]) == "" || isLost(&entries[9]) != "" {
			t.Fatal("two of a hundred that do not answer are given up at once")
		}
		unreconciled = 3
		if why := isLost(&entries[0]); why != "" {
			t.Fatalf("three of a hundred, at once: %s", why)
		}
		time.Sleep(4 * time.Second)
		if isLost(&entries[0]) == "" {
			t.Fatal("three of a hundred are given up after some seconds")
		}
		unreconciled = 30
		if why := isLost(&entries[0]); why != "" {
			t.Fatalf("thirty of a hundred: %s", why)
		}
	})
}
