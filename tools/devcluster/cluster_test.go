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

// freePorts returns the first of eight ports in a row that are free.
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
	t.Skip("no eight ports in a row are free")
	return 0
}

// Ports that are taken and programs that do not start, or end at once, are reported at once,
// and nothing is left: no port, no file, no process.
func TestStartFailuresAreReportedAndLeaveNothing(t *testing.T) {
	no, err := exec.LookPath("false")
	if err != nil {
		t.Skip("there is no program that ends at once")
	}
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	for name, c := range map[string]struct {
		program string
		taken   int // which port, counted from the first; -1: none
		why     string
	}{
		"state service's port":   {no, 0, "a port for the state service"},
		"cloud's port":           {no, 1, "a port for the cloud"},
		"a controller's port":    {no, 5, "a port for host-1"},
		"no program":             {filepath.Join(dir, "nothing"), -1, "starting host-0"},
		"a program that ends":    {no, -1, "has ended"},
		"too many for the ports": {no, -2, "controllers"},
	} {
		t.Run(name, func(t *testing.T) {
			o := Options{Port: freePorts(t), Controllers: 3, Program: c.program, MaxMachines: 4, GPUs: 8}
			if c.taken >= 0 {
				ln, err := net.Listen("tcp4", o.address(c.taken))
				if err != nil {
					t.Skip("the port is not free any more")
				}
				defer ln.Close()
			}
			if c.taken == -2 {
				o.Controllers = 99
			}
			cluster, err := Start(t.Context(), o)
			if err == nil {
				err = cluster.WaitUntilReady(t.Context())
				cluster.Stop()
			}
			if err == nil || !strings.Contains(err.Error(), c.why) {
				t.Errorf("%v", err)
			}
			if left, _ := os.ReadDir(dir); len(left) > 0 {
				t.Errorf("left behind: %v", left)
			}
			for k := range 8 {
				if ln, err := net.Listen("tcp4", o.address(k)); err == nil {
					ln.Close()
				} else if k != c.taken {
					t.Errorf("port %d is still taken", k)
				}
			}
		})
	}
}
