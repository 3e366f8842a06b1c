package config

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const valid = `{"host_name":"host-0","area":"a","listen":"10.0.0.1:8080","peer_bind":"10.0.0.1:8081",
"peers":[{"host_name":"host-1","area":"b","address":"10.0.0.2:8081"}],"external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
"facts":{"size":2,"zones":["a","b"],"teams":[{"name":"t","gpus":1,"gpus_max":2}],
"objectives":[{"kind":"deadline","class":"c","share":0.9,"times":1.5},{"kind":"finished","class":"c","within_s":40,"share":0.9}],
"workers":{"report_s":6,"lease_s":31,"gang_wait_s":45,"gang_peer_s":6,"cancel_s":56},
"state":{"rps":180,"write_rps":70,"value_kb":8,"txn_ops":24},"cloud":{"rps":7,"list_lag_s":8},
"quota":{"cores":0.276,"memory_mb":271,"max_connections":3402},"clock_off_ms":250,"new_field":[1]}}`

func TestSettingsAsThePlatformWritesThem(t *testing.T) {
	s, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.ZoneOf("host-1") != "b" || s.ZoneOf("host-9") != "" || len(s.Hosts()) != 2 || !s.HasQuota("t") {
		t.Errorf("%+v", s)
	}
	deadline := 20.0
	if l := s.CompletionTargets("c", &deadline); len(l) != 2 || l[0] != 30*time.Second || l[1] != 40*time.Second {
		t.Errorf("limits %v", l)
	}
	// What an owner keeps alive is gone within cancel_s, with a second to spare.
	grace := s.LeaseGracePeriod()
	if grace != 24*time.Second || grace+s.Workers.LeaseDuration >= s.Workers.CancellationDeadline {
		t.Errorf("lease grace period %v", grace)
	}
	if timeout := s.WatchTimeout(); timeout > time.Second {
		t.Errorf("an owner may not know the present for %v", timeout)
	}
}

// Every mistake is rejected with its field, and all of them at once.
func TestParseNamesEveryWrongField(t *testing.T) {
	for field, change := range map[string][2]string{
		"not valid JSON":        {`{"host_name"`, `{"host_name`},
		"host_name":             {`"host_name":"host-0"`, `"host_name":""`},
		"listen":                {`10.0.0.1:8080`, `10.0.0.1`},
		"external.state":        {`10.2.0.1:2379`, ``},
		"peers[0].host_name":    {`"host_name":"host-1"`, `"host_name":"host-0"`},
		"peers[0].address":      {`10.0.0.2:8081`, `nowhere`},
		"facts.teams[0]":        {`"gpus":1`, `"gpus":-1`},
		"facts.workers.lease_s": {`"lease_s":31`, `"lease_s":5`},
		"facts.workers.cancel":  {`"cancel_s":56`, `"cancel_s":30`},
		"at least 3.5s above":   {`"cancel_s":56`, `"cancel_s":34.4`}, // where the lease grace period would not end in time
		"facts.state.txn_ops":   {`"txn_ops":24`, `"txn_ops":2`},
		"state.value_kb":        {`"value_kb":8`, `"value_kb":8,"next":{"value_kb":1}`},
		"facts.cloud.rps":       {`"cloud":{"rps":7`, `"cloud":{"rps":0`},
	} {
		broken := strings.Replace(valid, change[0], change[1], 1)
		if broken == valid {
			t.Fatalf("%s: nothing was changed", field)
		}
		if _, err := Parse([]byte(broken)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
	two := strings.NewReplacer(`"rps":180`, `"rps":0`, `"gang_wait_s":45`, `"gang_wait_s":0`).Replace(valid)
	_, err := Parse([]byte(two))
	if err == nil || !strings.Contains(err.Error(), "state.rps") || !strings.Contains(err.Error(), "gang_wait_s") {
		t.Errorf("two mistakes: %v", err)
	}
	if _, err := Load(t.TempDir() + "/none"); err == nil {
		t.Error("a file that is not there")
	}
}

// Limits that are announced hold from the start, the lower of each; what is not announced stays.
// More controllers need more compares when the cluster version changes.
func TestAnnouncedStateLimitsApplyAtOnce(t *testing.T) {
	with := func(next string) string {
		return strings.Replace(valid, `"txn_ops":24`, `"txn_ops":24,"next":`+next, 1)
	}
	limits := func(requests, writes float64, valueBytes, txnOps int) StateLimits {
		return StateLimits{
			RequestsPerSecond: requests,
			WritesPerSecond:   writes,
			MaxValueBytes:     valueBytes,
			MaxTxnOps:         txnOps,
		}
	}
	for next, want := range map[string]StateLimits{
		`{"write_rps":42,"value_kb":2,"txn_ops":8}`:  limits(180, 42, 2048, 8),
		`{"write_rps":99,"value_kb":16,"txn_ops":8}`: limits(180, 70, 8192, 8),
		`{"rps":100}`: limits(100, 70, 8192, 24),
		`{}`:          limits(180, 70, 8192, 24),
	} {
		s, err := Parse([]byte(with(next)))
		if err != nil || s.StateLimits != want {
			t.Errorf("%s: %+v %v", next, s, err)
		}
	}
	const onePeer = `"peers":[{"host_name":"host-1","area":"b","address":"10.0.0.2:8081"}`
	manyPeers := onePeer
	for k := range 20 {
		manyPeers += fmt.Sprintf(`,{"host_name":"more-%d","area":"b","address":"10.0.1.%d:8081"}`, k, k)
	}
	crowded := strings.Replace(with(`{"txn_ops":6}`), onePeer, manyPeers, 1)
	if _, err := Parse([]byte(crowded)); err == nil || !strings.Contains(err.Error(), "at least 7") {
		t.Error(err)
	}
}

// Watches take an eighth of the requests, and each controller sees what others write within
// half a second, however many there are.
func TestMinWatchInterval(t *testing.T) {
	for _, c := range []struct {
		controllers       int
		requestsPerSecond float64
		interval          time.Duration
	}{
		{3, 200, 120 * time.Millisecond},
		{5, 160, 250 * time.Millisecond},
		{16, 200, maxWatchInterval},
	} {
		s := Settings{
			Controllers: c.controllers,
			StateLimits: StateLimits{RequestsPerSecond: c.requestsPerSecond},
			Workers:     WorkerTiming{LeaseDuration: 34 * time.Second, CancellationDeadline: 64 * time.Second},
		}
		if got := s.MinWatchInterval(); got != c.interval {
			t.Errorf("%d controllers at %v requests a second: %v", c.controllers, c.requestsPerSecond, got)
		}
	}
}
