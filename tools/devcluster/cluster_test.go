package devcluster

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// freePorts returns the first of eight consecutive free ports.
func freePorts(t *testing.T) int {
	t.Helper()
	for range 20 {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		port, free := ln.Addr().(*net.TCPAddr).Port, true
		ln.Close()
		for k := range 8 {
			probe, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port+k))
			if free = free && err == nil; err == nil {
				probe.Close()
			}
		}
		if free {
			return port
		}
	}
	t.Skip("found no eight consecutive free ports")
	return 0
}

// A start fails at once if a port is in use, if there are too many controllers, or if the program
// does not start or exits immediately. The failed start leaves no port in use, no file and no
// process.
func TestStartFailureIsReportedAndCleanedUp(t *testing.T) {
	failingProgram, err := exec.LookPath("false")
	if err != nil {
		t.Skip("no program named false, which exits at once")
	}
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	for name, c := range map[string]struct {
		program   string
		busyPort  int // index of the port in use; -1: none; -2: none, and 99 controllers
		wantError string
	}{
		"state service port in use":  {failingProgram, 0, "listening for the state service"},
		"cloud port in use":          {failingProgram, 1, "listening for the cloud"},
		"controller port in use":     {failingProgram, 5, "checking a port of controller host-1"},
		"missing program":            {filepath.Join(dir, "nothing"), -1, "starting controller host-0"},
		"program that exits at once": {failingProgram, -1, "exited unexpectedly"},
		"too many controllers":       {failingProgram, -2, "got 99 controllers"},
	} {
		t.Run(name, func(t *testing.T) {
			o := Options{Port: freePorts(t), Controllers: 3, Program: c.program, MaxMachines: 4, GPUs: 8}
			if c.busyPort >= 0 {
				ln, err := net.Listen("tcp4", o.portAddress(c.busyPort))
				if err != nil {
					t.Skip("the port is no longer free")
				}
				defer ln.Close()
			}
			if c.busyPort == -2 {
				o.Controllers = 99
			}
			cluster, err := Start(t.Context(), o)
			if err == nil {
				err = cluster.WaitUntilReady(t.Context())
				cluster.Stop()
			}
			if err == nil || !strings.Contains(err.Error(), c.wantError) {
				t.Errorf("got error %v, want one that contains %q", err, c.wantError)
			}
			if leftovers, _ := os.ReadDir(dir); len(leftovers) > 0 {
				t.Errorf("got files left in the temporary directory: %v, want none", leftovers)
			}
			for k := range 8 {
				if ln, err := net.Listen("tcp4", o.portAddress(k)); err == nil {
					ln.Close()
				} else if k != c.busyPort {
					t.Errorf("port %d is still in use", k)
				}
			}
		})
	}
}
