// Package controller assembles one controller process and runs its sessions.
//
// It owns the process-wide components (settings, clients of the external systems, the catalogue of
// machine types, the HTTP gateway) and runs sessions one after another. A session consists of all
// components that exist only while the process holds its session lease in the state service. Every
// component guards its own state; this package only connects the components and waits for their
// goroutines.
//
// It is the only package that may import all other packages. Only the program itself and tests of
// whole controllers import it.
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

// Fractions of the rate limits of the external systems that the controllers use.
const (
	// stateRequestShare is the fraction of the state service's request rate that all controllers
	// together use.
	stateRequestShare = 0.75
	// migrationRequestShare is the fraction that the migrator uses in addition to
	// stateRequestShare. It is separate so that no other request waits for a migration.
	migrationRequestShare = 0.05
	// migrationWriteHeadroom is the factor by which the write limit of the migrator's client
	// exceeds the rate at which the migrator sends writes. The client's limit must not be the one
	// that slows the migrator down.
	migrationWriteHeadroom = 2
	// cloudRequestShare is the fraction of the cloud's request rate that the leader uses, to stay
	// below the limit.
	cloudRequestShare = 0.8
)

// Delays between the end of a session and the start of the next one.
const (
	sessionRetryDelay = 300 * time.Millisecond
	// rejectedRetryDelay applies while the cluster version does not admit this build. Only an
	// operator or a rollout changes the cluster version, so retrying sooner has no effect.
	rejectedRetryDelay = 2 * time.Second
)

// Controller is one controller process.
type Controller struct {
	settings       *config.Settings
	policy         *policy.Policy
	store          StateStore
	migrationStore statekv.Store // with request and write limits of its own
	cloud          cloud.API
	workers        worker.Commander
	catalogue      *cloud.Catalogue
	gateway        *gateway.Gateway
	pauses         pauseDetector
	newNetwork     func(server *rpc.Server, handshake *peer.Service) Network

	requestsInFlight sync.WaitGroup // of ended sessions
}

// StateStore is the state service, whose request rate is divided among the live controllers.
type StateStore interface {
	statekv.Store
	SetControllerCount(controllers int)
}

// Network carries the calls between controllers during one session.
type Network interface {
	peer.Caller
	// Listen opens the listener for the other controllers; serve answers their calls until ctx
	// ends.
	Listen() (serve func(ctx context.Context), err error)
	Close()
}

// ExternalSystems holds the clients of everything that a controller uses outside its process. Tests
// of whole controllers pass emulators to inject failures into otherwise unchanged components.
type ExternalSystems struct {
	StateStore     StateStore
	MigrationStore statekv.Store
	Cloud          cloud.API
	Workers        worker.Commander
	// Connect creates the network of a session. server answers the calls of other controllers, and
	// handshake announces the build and the methods of this controller.
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

// Assemble returns a controller that uses the given clients of the external systems.
func Assemble(settings *config.Settings, operatorPolicy *policy.Policy, external ExternalSystems) *Controller {
	c := &Controller{
		settings:       settings,
		policy:         operatorPolicy,
		store:          external.StateStore,
		migrationStore: external.MigrationStore,
		cloud:          external.Cloud,
		workers:        external.Workers,
		catalogue:      &cloud.Catalogue{},
		newNetwork:     external.Connect,
	}
	c.gateway = gateway.New(settings, c.store, c.catalogue, c.pauses.totals)
	return c
}

// HandleRequest answers an HTTP request without a network connection, for tests of whole
// controllers.
func (c *Controller) HandleRequest(r *http.Request) (*http.Response, error) {
	return c.gateway.HandleRequest(r)
}

// Run serves until ctx ends. When the session lease is lost, the controller loses all its roles and
// opens a new session; the process continues.
func (c *Controller) Run(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", c.settings.ListenAddress)
	if err != nil {
		return fmt.Errorf("listening for users and workers: %w", err)
	}
	// Run does not wait for these two goroutines: the process exits when the gateway stops. A
	// session that is cut off this way leaves the same state behind as one that ends in a crash.
	go c.pauses.run(ctx)
	go c.RunSessions(ctx)
	return c.gateway.Serve(ctx, listener)
}

// RunSessions runs one session after another until ctx ends.
func (c *Controller) RunSessions(ctx context.Context) {
	defer c.requestsInFlight.Wait()
	lastLogged := ""
	for ctx.Err() == nil {
		err := c.runSession(ctx, recovery.NewTimeline(time.Now()))
		c.gateway.SetComponents(nil)
		delay, rejected := sessionRetryDelay, rollout.IsJoinRejected(err)
		if err != nil && ctx.Err() == nil {
			// A repeated rejection with the same error is logged once, not on every retry (every
			// two seconds).
			if lastLogged != err.Error() || !rejected {
				slog.Info("controller session ended", "err", err)
			}
			lastLogged = err.Error()
		}
		if rejected {
			// The controller reports itself as not ready, with the reason, until the cluster
			// version admits it.
			c.gateway.SetNotReadyReason(err.Error())
			delay = rejectedRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}
