package controller

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"strings"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/peer"
	"robinstack/internal/policy"
	"robinstack/internal/recovery"
	"robinstack/test/wireformat"
)

var errListenFailed = errors.New("listening always fails in this test")

// failingNetwork is a network that fails to listen, which ends the session before any role starts.
type failingNetwork struct{}

func (failingNetwork) Call(context.Context, string, string, any, any) error { return errListenFailed }
func (failingNetwork) Listen() (func(context.Context), error)               { return nil, errListenFailed }
func (failingNetwork) Close()                                               {}

// Guards against a renamed net/rpc service or method, which controllers of other builds could not
// call any more: the methods that the handshake announces must be the recorded ones, and the server
// must answer each of them under that name.
func TestWireServices(t *testing.T) {
	var server *rpc.Server
	var handshakeService *peer.Service
	settings := &config.Settings{Host: "host-0", Controllers: 1, Zones: []string{"a"}, Zone: "a",
		Workers:     config.WorkerTiming{HeartbeatInterval: 3 * time.Second, LeaseDuration: 30 * time.Second, CancellationDeadline: time.Minute},
		StateLimits: config.StateLimits{RequestsPerSecond: 100, WritesPerSecond: 50, MaxValueBytes: 8192, MaxTxnOps: 24}}
	store := emulator.NewFaultyStateClient(emulator.NewStateService(), 1)
	c := Assemble(settings, policy.Default(), ExternalSystems{StateStore: store, MigrationStore: store,
		Connect: func(s *rpc.Server, h *peer.Service) Network {
			server, handshakeService = s, h
			return failingNetwork{}
		}})
	c.catalogue.Set([]cloud.MachineType{{Name: "box"}})
	if err := c.runSession(t.Context(), recovery.NewTimeline(time.Now())); !errors.Is(err, errListenFailed) {
		t.Fatal(err)
	}

	var handshake peer.Handshake
	if err := handshakeService.Hello(peer.Handshake{}, &handshake); err != nil {
		t.Fatal(err)
	}
	methods := append(slices.Clone(handshake.Calls), "Peer.Hello")
	wireformat.CheckGolden(t, "methods", strings.Join(methods, "\n")+"\n")

	clientConn, serverConn := net.Pipe()
	go server.ServeConn(serverConn)
	client := rpc.NewClient(clientConn)
	defer func() { _ = client.Close() }() // no call is pending
	const unknownMethodPrefix = "rpc: can't find"
	for _, method := range methods {
		// No method takes a bool, so a method that exists rejects the argument before it runs.
		if err := client.Call(method, true, &struct{}{}); err == nil || strings.HasPrefix(err.Error(), unknownMethodPrefix) {
			t.Errorf("%s: got error %v, want a rejected argument", method, err)
		}
	}
	if err := client.Call("Agent.NoSuch", true, &struct{}{}); err == nil || !strings.HasPrefix(err.Error(), unknownMethodPrefix) {
		t.Errorf("unregistered method: got error %v, want prefix %q", err, unknownMethodPrefix)
	}
}
