package config

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const validSettings = `{"host_name":"host-0","area":"a","listen":"10.0.0.1:8080","peer_bind":"10.0.0.1:8081",
"peers":[{"host_name":"host-1","area":"b","address":"10.0.0.2:8081"}],"external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
"facts":{"size":2,"zones":["a","b"],"teams":[{"name":"t","gpus":1,"gpus_max":2}],
"objectives":[{"kind":"deadline","class":"c","share":0.9,"times":1.5},{"kind":"finished","class":"c","within_s":40,"share":0.9}],
"workers":{"report_s":6,"lease_s":31,"gang_wait_s":45,"gang_peer_s":6,"cancel_s":56},
"state":{"rps":180,"write_rps":70,"value_kb":8,"txn_ops":24},"cloud":{"rps":7,"list_lag_s":8},
"quota":{"cores":0.276,"memory_mb":271,"max_connections":3402},"clock_off_ms":250,"new_field":[1]}}`

func TestParseValidSettings(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.ZoneOf("host-1") != "b" || s.ZoneOf("host-9") != "" || len(s.Hosts()) != 2 || !s.HasQuota("t") {
		t.Errorf("unexpected zones, hosts or quotas in %+v", s)
	}
	deadline := 20.0
	if got := s.CompletionTargets("c", &deadline); len(got) != 2 || got[0] != 30*time.Second || got[1] != 40*time.Second {
		t.Errorf("got completion targets %v, want 30s and 40s", got)
	}
	// Tasks kept alive by an owner without a state lease must end by cancel_s, with a second to
	// spare.
	grace := s.LeaseGracePeriod()
	if grace != 24*time.Second || grace+s.Workers.LeaseDuration >= s.Workers.CancellationDeadline {
		t.Errorf("got lease grace period %v, want 24s", grace)
	}
	if timeout := s.WatchTimeout(); timeout > time.Second {
		t.Errorf("got watch timeout %v, want at most 1s", timeout)
	}
}

// Guards against invalid settings that are accepted, and against errors that do not name the field
// or report only the first of several invalid fields.
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
		"at least 3.5s above":   {`"cancel_s":56`, `"cancel_s":34.4`}, // the grace period would end too close to the deadline
		"facts.state.txn_ops":   {`"txn_ops":24`, `"txn_ops":2`},
		"state.value_kb":        {`"value_kb":8`, `"value_kb":8,"next":{"value_kb":1}`},
		"facts.cloud.rps":       {`"cloud":{"rps":7`, `"cloud":{"rps":0`},
	} {
		broken := strings.Replace(validSettings, change[0], change[1], 1)
		if broken == validSettings {
			t.Fatalf("%s: %s does not occur in the valid settings", field, change[0])
		}
		if _, err := Parse([]byte(broken)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("got error %v, want one that contains %q", err, field)
		}
	}
	twoWrong := strings.NewReplacer(`"rps":180`, `"rps":0`, `"gang_wait_s":45`, `"gang_wait_s":0`).Replace(validSettings)
	_, err := Parse([]byte(twoWrong))
	if err == nil || !strings.Contains(err.Error(), "state.rps") || !strings.Contains(err.Error(), "gang_wait_s") {
		t.Errorf("two invalid fields: got error %v, want both named", err)
	}
	if _, err := Load(t.TempDir() + "/none"); err == nil {
		t.Error("got no error for a missing file")
	}
}

// An announced limit may take effect at any time, so from the start the lower of the current and
// the announced value applies; a limit that is not announced keeps its value. A change of the
// cluster version needs one compare for each controller, so more controllers need larger
// transactions.
func TestAnnouncedStateLimitsApplyAtOnce(t *testing.T) {
	withNext := func(next string) string {
		return strings.Replace(validSettings, `"txn_ops":24`, `"txn_ops":24,"next":`+next, 1)
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
		s, err := Parse([]byte(withNext(next)))
		if err != nil || s.StateLimits != want {
			t.Errorf("next %s: got %+v, error %v; want %+v", next, s, err, want)
		}
	}
	const onePeer = `"peers":[{"host_name":"host-1","area":"b","address":"10.0.0.2:8081"}`
	manyPeers := onePeer
	for k := range 20 {
		manyPeers += fmt.Sprintf(`,{"host_name":"more-%d","area":"b","address":"10.0.1.%d:8081"}`, k, k)
	}
	withManyPeers := strings.Replace(withNext(`{"txn_ops":6}`), onePeer, manyPeers, 1)
	if _, err := Parse([]byte(withManyPeers)); err == nil || !strings.Contains(err.Error(), "at least 7") {
		t.Errorf("22 controllers: got error %v, want one that contains \"at least 7\"", err)
	}
}

// All controllers' watches together use an eighth of the state service's request rate, but each
// controller must see the writes of others within half a second, however many controllers there
// are.
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
			t.Errorf("%d controllers, %v requests a second: got %v, want %v",
				c.controllers, c.requestsPerSecond, got, c.interval)
		}
	}
}
