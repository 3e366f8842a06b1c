package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/policy"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
)

// Rollout commands are answered at once: with the status if they are executed, with the reason if
// they are blocked, and with the reason if this controller has no session, for instance because its
// build must not join the cluster.
func TestRolloutCommands(t *testing.T) {
	state := emulator.NewStateService()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ignore := func([]statekv.Event) {}
	mirror := statekv.NewMirror(state, []string{statekv.ClusterPrefix}, statekv.RootPrefix, time.Second, 0, ignore)
	if err := mirror.Load(ctx); err != nil {
		t.Fatal(err)
	}
	registration, err := rollout.NewRegistration(mirror, rollout.LocalCapabilities())
	if err != nil {
		t.Fatal(err)
	}
	session, err := statekv.OpenSession(ctx, state, mirror, "host-0", time.Hour, registration)
	if err != nil {
		t.Fatal(err)
	}
	go mirror.Run(ctx)
	settings := &config.Settings{Host: "host-0", MaxConnections: 100}
	g := New(settings, state, &cloud.Catalogue{}, noPauses)
	request := func(method, path string, want int) string {
		t.Helper()
		response, err := g.app.Test(httptest.NewRequest(method, path, nil), 5000)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != want {
			t.Errorf("%s %s: got %d, want %d: %s", method, path, response.StatusCode, want, body)
		}
		return string(body)
	}
	g.SetNotReadyReason("this build may not join: it lacks x")
	for _, path := range []string{"/rollout.json", "/status.json", "/ready"} {
		if body := request("GET", path, 503); !strings.Contains(body, "lacks x") {
			t.Errorf("%s: got %s, want the reason why there is no session", path, body)
		}
	}
	noLeaderEpoch := func() uint64 { return 0 }
	hosts := []string{"host-0"}
	g.SetComponents(&Components{
		Session:     session,
		Mirror:      mirror,
		VersionGate: rollout.NewVersionGate(hosts, policy.Default(), mirror, session, state, noLeaderEpoch),
	})
	if body := request("POST", "/rollout/lower", 409); !strings.Contains(body, "level 0") {
		t.Errorf("lower: got %s, want the reason that names level 0", body)
	}
	if body := request("POST", "/rollout/explode", 409); !strings.Contains(body, "none of hold") {
		t.Errorf("unknown command: got %s, want the list of commands", body)
	}
	request("POST", "/rollout/hold?why=it+is+Friday", 200)
	if err := mirror.ReadIndex(ctx); err != nil {
		t.Fatal(err)
	}
	var status rollout.Status
	if err := json.Unmarshal([]byte(request("GET", "/rollout.json", 200)), &status); err != nil {
		t.Fatal(err)
	}
	if status.HoldReason != "it is Friday" || len(status.Controllers) != 1 ||
		status.Controllers[0].Build != rollout.BuildVersion {
		t.Errorf("got status %+v, want the reason of the hold and one controller of this build", status)
	}
}
