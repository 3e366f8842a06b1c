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

// A person's commands are answered at once: with the status once they are carried out,
// with what stands in their way if they cannot be, and with the reason where this
// controller has no life, for instance because it must not join.
func TestRolloutCommands(t *testing.T) {
	state := emulator.NewStateService()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	mirror := statekv.NewMirror(state, []string{statekv.ClusterPrefix}, statekv.RootPrefix, time.Second, 0, func([]statekv.Event) {})
	if err := mirror.Load(ctx); err != nil {
		t.Fatal(err)
	}
	reg, err := rollout.NewRegistration(mirror, rollout.LocalCapabilities())
	if err != nil {
		t.Fatal(err)
	}
	member, err := statekv.OpenSession(ctx, state, mirror, "host-0", time.Hour, reg)
	if err != nil {
		t.Fatal(err)
	}
	go mirror.Run(ctx)
	settings := &config.Settings{Host: "host-0", MaxConnections: 100}
	g := New(settings, state, &cloud.Catalogue{}, func() (int, time.Duration) { return 0, 0 })
	ask := func(method, path string, want int) string {
		t.Helper()
		resp, err := g.app.Test(httptest.NewRequest(method, path, nil), 5000)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != want {
			t.Errorf("%s %s: %d and not %d: %s", method, path, resp.StatusCode, want, body)
		}
		return string(body)
	}
	g.SetNotReadyReason("this build may not join: it lacks x")
	for _, path := range []string{"/rollout.json", "/status.json", "/ready"} {
		if body := ask("GET", path, 503); !strings.Contains(body, "lacks x") {
			t.Errorf("%s: %s", path, body)
		}
	}
	g.SetComponents(&Components{Session: member, Mirror: mirror, VersionGate: rollout.NewVersionGate([]string{"host-0"}, policy.Default(), mirror, member, state, func() uint64 { return 0 })})
	if body := ask("POST", "/rollout/lower", 409); !strings.Contains(body, "level 0") {
		t.Error(body)
	}
	if body := ask("POST", "/rollout/explode", 409); !strings.Contains(body, "none of hold") {
		t.Error(body)
	}
	ask("POST", "/rollout/hold?why=it+is+Friday", 200)
	var s rollout.Status
	if err := mirror.ReadIndex(ctx); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(ask("GET", "/rollout.json", 200)), &s); err != nil || s.HoldReason != "it is Friday" || len(s.Controllers) != 1 || s.Controllers[0].Build != rollout.BuildVersion {
		t.Errorf("%+v %v", s, err)
	}
}
