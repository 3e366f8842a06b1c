package emulator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/job"
	"robinstack/internal/worker"
)

// A worker on the loopback network must send heartbeats over its own connection, execute direct
// commands only with a current fencing token and worker epoch, and end its tasks when its lease
// expires. Direct commands must not renew the lease.
func TestWorkerOnLoopbackNetwork(t *testing.T) {
	var mu sync.Mutex
	var lastHeartbeat worker.Heartbeat
	controller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		_ = json.NewDecoder(r.Body).Decode(&lastHeartbeat)
		writeJSON(w, http.StatusServiceUnavailable, nil) // so the worker's lease is not renewed
	}))
	defer controller.Close()
	settings := &config.Settings{Host: "host-0", Workers: config.WorkerTiming{
		HeartbeatInterval:    200 * time.Millisecond,
		LeaseDuration:        1500 * time.Millisecond,
		CancellationDeadline: 10 * time.Second,
	}}
	history := NewHistory(settings)
	types := []cloud.MachineType{{Name: "box", CPUs: 4, GPUs: 1, MemoryGB: 8, OnDemandPrice: 1, Zones: []string{"a"}}}
	simulated := NewSimulatedCloud(t.Context(), SimulatedCloudConfig{
		Settings: settings, MachineTypes: types, MaxMachines: 1, Seed: 1, History: history,
	})
	network := &LoopbackNetwork{
		ControllerAddresses: map[string]string{"host-0": strings.TrimPrefix(controller.URL, "http://")},
	}
	simulated.UseNetwork(network)
	simulated.SetTiming(Timing{ImageFetch: 10 * time.Millisecond})
	history.RecordSubmission(job.Spec{ID: "wk-1", Team: "t", Shape: job.Array, Tasks: 1})
	simulated.SetRunTimes("wk-1", time.Hour, 0)
	if err := simulated.AddMachines("box", "a", 1, 0); err != nil {
		t.Fatal(err)
	}
	eventually := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timed out after 5 s: want %s", what)
			}
		}
	}
	address := ""
	eventually("a heartbeat", func() bool {
		mu.Lock()
		defer mu.Unlock()
		address = lastHeartbeat.Address
		return address != ""
	})
	send := func(token, epoch uint64) int {
		t.Helper()
		body, _ := json.Marshal(map[string]any{
			"baton": token, "tenure": epoch, "orders": []worker.Command{worker.StartCommand("wk-1/0", 1)},
		})
		resp, err := http.Post("http://"+address+"/do", "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	if code := send(7, 2); code != http.StatusConflict {
		t.Errorf("command for another worker epoch: got status %d, want %d", code, http.StatusConflict)
	}
	if code := send(7, 1); code != http.StatusOK {
		t.Errorf("command: got status %d, want %d", code, http.StatusOK)
	}
	if code := send(6, 1); code != http.StatusConflict {
		t.Errorf("command with a lower fencing token: got status %d, want %d", code, http.StatusConflict)
	}
	eventually("the task on its machine", func() bool { return history.TasksOnMachines("wk-1") == 1 })
	eventually("the task ended by lease expiry", func() bool {
		return simulated.TasksKilledByLeaseExpiry() == 1 && history.TasksOnMachines("wk-1") == 0
	})
	if heartbeats := network.Traffic.Heartbeats.Load(); heartbeats < 2 ||
		network.Traffic.Bytes.Received.Load() == 0 || network.Traffic.Commands.Load() != 3 {
		t.Errorf("traffic: got %d heartbeats, %d bytes received, %d commands; want at least 2, at least 1, 3",
			heartbeats, network.Traffic.Bytes.Received.Load(), network.Traffic.Commands.Load())
	}
}
