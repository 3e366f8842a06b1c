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

var errNoPeers = errors.New("there are no peers")

// unconnected is the network of a session that ends when it begins to listen.
type unconnected struct{}

func (unconnected) Call(context.Context, string, string, any, any) error { return errNoPeers }
func (unconnected) Listen() (func(context.Context), error)               { return nil, errNoPeers }
func (unconnected) Close()                                               {}

// The names under which services are registered and announced are those on the wire.
func TestWireServices(t *testing.T) {
	var server *rpc.Server
	var greeter *peer.Service
	settings := &config.Settings{Host: "host-0", Controllers: 1, Zones: []string{"a"}, Zone: "a",
		Workers:     config.WorkerTiming{HeartbeatInterval: 3 * time.Second, LeaseDuration: 30 * time.Second, CancellationDeadline: time.Minute},
		StateLimits: config.StateLimits{RequestsPerSecond: 100, WritesPerSecond: 50, MaxValueBytes: 8192, MaxTxnOps: 24}}
	store := emulator.NewFaultyStateClient(emulator.NewStateService(), 1)
	c := Assemble(settings, policy.Default(), ExternalSystems{StateStore: store, MigrationStore: store,
		Connect: func(s *rpc.Server, g *peer.Service) Network {
			server, greeter = s, g
			return unconnected{}
		}})
	c.catalogue.Set([]cloud.MachineType{{Name: "box"}})
	if err := c.runSession(t.Context(), recovery.NewTimeline(time.Now())); !errors.Is(err, errNoPeers) {
		t.Fatal(err)
	}

	var greeting peer.Handshake
	if err := greeter.Hello(peer.Handshake{}, &greeting); err != nil {
		t.Fatal(err)
	}
	methods := append(slices.Clone(greeting.Calls), "Peer.Hello")
	wireformat.Golden(t, "methods", strings.Join(methods, "\n")+"\n")

	ours, theirs := net.Pipe()
	go server.ServeConn(theirs)
	client := rpc.NewClient(ours)
	defer func() { _ = client.Close() }() // nothing is left to be sent
	const unknown = "rpc: can't find"
	for _, method := range methods {
		// No method takes a bool: it is found and refuses the argument, without a call.
		if err := client.Call(method, true, &struct{}{}); err == nil || strings.HasPrefix(err.Error(), unknown) {
			t.Errorf("%s: %v", method, err)
		}
	}
	if err := client.Call("Agent.NoSuch", true, &struct{}{}); err == nil || !strings.HasPrefix(err.Error(), unknown) {
		t.Errorf("a method that is not there: %v", err)
	}
}
