// Package controller assembles one controller process and runs its sessions.
//
// It owns the process-wide parts (settings, clients of the external systems, the catalogue of
// machine types, the HTTP gateway) and, one after the other, the sessions: all components that
// exist only while the process holds its session lease in the state service. Every component
// guards its own state; this package only connects them and waits for their goroutines.
//
// It is the only package that may import all the others; nothing but the program and tests of
// whole controllers imports it.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/gateway"
	"robinstack/internal/peer"
	"robinstack/internal/policy"
	"robinstack/internal/recovery"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
	"robinstack/internal/worker"
)

// Shares of the rates that the external systems allow.
const (
	// stateRequestShare is what all controllers together use of the state service's requests.
	stateRequestShare = 0.75
	// migrationRequestShare is what the migrator uses beside that, so that nothing waits for it.
	migrationRequestShare = 0.05
	// migrationWriteHeadroom is how far the migrator's client may exceed the write rate to which
	// the migrator paces itself: the client's own limit must not be the one that decides.
	migrationWriteHeadroom = 2
	// cloudRequestShare keeps the leader below the limit of the cloud.
	cloudRequestShare = 0.8
)

// Pauses between two sessions.
const (
	sessionRetryDelay = 300 * time.Millisecond
	// rejectedRetryDelay applies while the cluster version keeps this build out: that changes
	// only when an operator or a roll-out changes it.
	rejectedRetryDelay = 2 * time.Second
)

// Controller is one controller process.
type Controller struct {
	settings       *config.Settings
	policy         *policy.Policy
	store          Store
	migrationStore statekv.Store // has its own share of the limits
	cloud          cloud.API
	workers        worker.Commander
	catalogue      *cloud.Catalogue
	gateway        *gateway.Gateway
	pauses         pauseDetector
	connect        func(server *rpc.Server, handshake *peer.Service) Network

	unanswered sync.WaitGroup // what ended sessions have sent and still wait for
}

// Store is the state service, whose request limit is divided among the live controllers.
type Store interface {
	statekv.Store
	SetControllerCount(controllers int)
}

// Network carries calls between the controllers for one session.
type Network interface {
	peer.Caller
	// Listen begins to listen to the other controllers; serve answers them until ctx ends.
	Listen() (serve func(ctx context.Context), err error)
	Close()
}

// ExternalSystems is what a controller reaches beyond its process. Tests of whole controllers
// put emulators in its place and have them meet failures with all their components as they are.
type ExternalSystems struct {
	StateStore     Store
	MigrationStore statekv.Store
	Cloud          cloud.API
	Workers        worker.Commander
	// Connect makes the network of a session: server answers the calls of the others, and
	// handshake says which build and which methods this controller has.
	Connect func(server *rpc.Server, handshake *peer.Service) Network
}

// New returns a controller that reaches the external systems over the network.
func New(settings *config.Settings, operatorPolicy *policy.Policy) *Controller {
	limits := settings.StateLimits
	controllers := max(settings.Controllers, len(settings.Hosts()))
	return Assemble(settings, operatorPolicy, ExternalSystems{
		StateStore: statekv.NewClient(
			settings.StateAddress,
			stateRequestShare*limits.RequestsPerSecond,
			limits.SharedWriteBudget(),
			controllers,
		),
		MigrationStore: statekv.NewClient(
			settings.StateAddress,
			migrationRequestShare*limits.RequestsPerSecond,
			migrationWriteHeadroom*rollout.MigrationWriteShare*limits.WritesPerSecond,
			1,
		),
		Cloud:   cloud.NewClient(settings.CloudAddress, cloudRequestShare*settings.CloudRequestsPerSecond),
		Workers: worker.NewClient(),
		Connect: func(server *rpc.Server, handshake *peer.Service) Network {
			return newTCPNetwork(settings, server, handshake)
		},
	})
}

// Assemble returns a controller that reaches the given external systems.
func Assemble(settings *config.Settings, operatorPolicy *policy.Policy, external ExternalSystems) *Controller {
	c := &Controller{
		settings:       settings,
		policy:         operatorPolicy,
		store:          external.StateStore,
		migrationStore: external.MigrationStore,
		cloud:          external.Cloud,
		workers:        external.Workers,
		catalogue:      &cloud.Catalogue{},
		connect:        external.Connect,
	}
	c.gateway = gateway.New(settings, c.store, c.catalogue, c.pauses.totals)
	return c
}

// HandleRequest answers an HTTP request without a network, for tests of whole controllers.
func (c *Controller) HandleRequest(r *http.Request) (*http.Response, error) {
	return c.gateway.HandleRequest(r)
}

// Run serves until ctx ends. When the session lease is lost, all roles are: the controller then
// opens a new session without ending the process.
func (c *Controller) Run(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", c.settings.ListenAddress)
	if err != nil {
		return fmt.Errorf("listening for users and workers: %w", err)
	}
	// Nothing waits for these two: the process ends with the gateway, and what a session leaves
	// behind then is what it would leave behind in a crash.
	go c.pauses.run(ctx)
	go c.RunSessions(ctx)
	return c.gateway.Serve(ctx, listener)
}

// RunSessions runs one session after the other until ctx ends.
func (c *Controller) RunSessions(ctx context.Context) {
	defer c.unanswered.Wait()
	lastLogged := ""
	for ctx.Err() == nil {
		err := c.runSession(ctx, recovery.NewTimeline(time.Now()))
		c.gateway.SetComponents(nil)
		delay, rejected := sessionRetryDelay, rollout.IsJoinRejected(err)
		if err != nil && ctx.Err() == nil {
			// The same rejection is logged once, not every two seconds.
			if lastLogged != err.Error() || !rejected {
				slog.Info("controller session ended", "err", err)
			}
			lastLogged = err.Error()
		}
		if rejected {
			// Not ready, with the reason, until the cluster version is another one.
			c.gateway.SetNotReadyReason(err.Error())
			delay = rejectedRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}
