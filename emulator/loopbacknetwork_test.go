package emulator

import (
	"bytes"
	"encoding/json"
	"fmt"
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

// A worker on the loopback network sends heartbeats over a connection of its own, carries out direct
// commands under its fencing token and worker epoch only, and ends its tasks with its lease, which these
// do not renew.
func TestWorkerOnLoopbackNetwork(t *testing.T) {
	var mu sync.Mutex
	var latest worker.Heartbeat
	controller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		_ = json.NewDecoder(r.Body).Decode(&latest)
		respond(w, http.StatusServiceUnavailable, nil) // its lease is not renewed
	}))
	defer controller.Close()
	settings := &config.Settings{Host: "host-0", Workers: config.WorkerTiming{HeartbeatInterval: 200 * time.Millisecond, LeaseDuration: 1500 * time.Millisecond, CancellationDeadline: 10 * time.Second}}
	history := NewHistory(settings)
	types := []cloud.MachineType{{Name: "box", CPUs: 4, GPUs: 1, MemoryGB: 8, OnDemandPrice: 1, Zones: []string{"a"}}}
	f := NewSimulatedCloud(t.Context(), SimulatedCloudConfig{
		Settings: settings, MachineTypes: types, MaxMachines: 1, Seed: 1, History: history,
	})
	l := &LoopbackNetwork{ControllerAddresses: map[string]string{"host-0": strings.TrimPrefix(controller.URL, "http://")}}
	f.UseNetwork(l)
	f.SetTiming(Timing{ImageFetch: 10 * time.Millisecond})
	history.RecordSubmission(job.Spec{ID: "wk-1", Team: "t", Shape: job.Array, Tasks: 1})
	f.SetRunTimes("wk-1", time.Hour, 0)
	if err := f.AddMachines("box", "a", 1, 0); err != nil {
		t.Fatal(err)
	}
	eventually := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("not seen: " + what)
			}
		}
	}
	address := ""
	eventually("a heartbeat", func() bool {
		mu.Lock()
		defer mu.Unlock()
		address = latest.Address
		return address != ""
	})
	send := func(token, epoch uint64) int {
		t.Helper()
		body, _ := json.Marshal(map[string]any{"baton": token, "tenure": epoch, "orders": []worker.Command{worker.StartCommand("wk-1/0", 1)}})
		resp, err := http.Post("http://"+address+"/do", "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	if code := send(7, 2); code != http.StatusConflict {
		t.Errorf("a command for another worker epoch: %d", code)
	}
	if code := send(7, 1); code != http.StatusOK {
		t.Errorf("a command: %d", code)
	}
	if code := send(6, 1); code != http.StatusConflict {
		t.Errorf("a command under a lower token: %d", code)
	}
	eventually("the task on its machine", func() bool { return history.TasksOnMachines("wk-1") == 1 })
	eventually("the end of its lease", func() bool { return f.TasksKilledByLeaseExpiry() == 1 && history.TasksOnMachines("wk-1") == 0 })
	if heartbeats := l.Traffic.Heartbeats.Load(); heartbeats < 2 || l.Traffic.Bytes.Received.Load() == 0 || l.Traffic.Commands.Load() != 3 {
		t.Error(fmt.Sprint("traffic: ", heartbeats, l.Traffic.Bytes.Received.Load(), l.Traffic.Commands.Load()))
	}
}
