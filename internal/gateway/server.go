// Package gateway serves users, workers and operators over HTTP: job submissions, queries and
// cancellations, worker heartbeats, readiness probes, the status page and rollout commands.
//
// A Gateway lives as long as its process. Everything that belongs to one session at the state
// service is in Components, which the controller sets when a session begins and clears when it
// ends. Handlers load it through an atomic pointer, which is nil between sessions. The gateway's
// own state is a cache of tombstones, the admission queue for queries and the latencies of its
// responses, each with a mutex of its own that is never held during I/O. Decisions are made on
// snapshots of the mirror.
//
// Handlers return errors, and errors.go is the only place that maps errors to HTTP status codes.
// The package imports the HTTP framework and the packages of the controller's components; only the
// controller and the tools import it.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/segmentio/encoding/json"

	"robinstack/internal/cloud"
	"robinstack/internal/config"
	"robinstack/internal/statekv"
	"robinstack/internal/tombstone"
)

const (
	maxBodyBytes = 64 << 10 // maximum request body of the HTTP API
	// idleTimeout closes idle connections; a request must also arrive completely within it.
	idleTimeout     = 2 * time.Minute
	writeTimeout    = 10 * time.Second
	shutdownTimeout = time.Second
	// minConnections is the number of connections that are served at a time even if the settings
	// allow fewer sockets.
	minConnections = 64
)

// Gateway serves the HTTP API of one controller.
type Gateway struct {
	settings      *config.Settings
	store         statekv.Store
	catalogue     *cloud.Catalogue
	app           *fiber.App
	processPauses func() (count int, longest time.Duration)

	components     atomic.Pointer[Components] // nil between sessions
	notReadyReason atomic.Pointer[string]     // why there is no session; nil or "" while starting

	latencies       *latencyRecorder
	admission       admissionQueue
	rejectedQueries atomic.Int64 // rejected by admission
	tombstones      tombstoneCache
	tombstoneLookup *tombstone.BatchedLookup
}

// New returns a gateway that has no session yet. processPauses returns how often the process was
// paused, and the longest pause.
func New(
	settings *config.Settings, store statekv.Store, catalogue *cloud.Catalogue,
	processPauses func() (count int, longest time.Duration),
) *Gateway {
	limits := settings.StateLimits
	lookupRate := statekv.LookupShare * limits.RequestsPerSecond / float64(max(1, settings.Controllers))
	g := &Gateway{
		settings:        settings,
		store:           store,
		catalogue:       catalogue,
		processPauses:   processPauses,
		latencies:       newLatencyRecorder(),
		tombstoneLookup: tombstone.NewBatchedLookup(store, limits.MaxCompares(), lookupRate),
	}
	g.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		JSONEncoder:           json.Marshal,
		JSONDecoder:           json.Unmarshal,
		BodyLimit:             maxBodyBytes,
		Immutable:             true,
		IdleTimeout:           idleTimeout,
		ReadTimeout:           idleTimeout,
		WriteTimeout:          writeTimeout,
		Concurrency:           servedConnections(settings.MaxConnections),
		Network:               fiber.NetworkTCP4,
		ErrorHandler:          respondError,
	})
	g.addRoutes()
	return g
}

// servedConnections returns how many connections are served at a time: three quarters of the
// sockets that the process may open. The rest is left for the controller's outgoing connections. A
// limit of half the sockets was too low: the connections of 1,200 workers left none for the load
// balancer's probes.
func servedConnections(maxConnections int) int {
	return max(minConnections, maxConnections*3/4)
}

func (g *Gateway) addRoutes() {
	g.app.Post("/v1/report", g.latencies.timed(requestHeartbeat, g.heartbeat))
	g.app.Get("/ready", g.ready)
	g.app.Post("/submissions", g.latencies.timed(requestSubmission, g.submit))
	g.app.Get("/submissions/:id", g.latencies.timed(requestQuery, g.query))
	g.app.Post("/submissions/:id/abort", g.latencies.timed(requestCancellation, g.cancel))
	g.app.Get("/status.json", g.status)
	g.app.Get("/rollout.json", g.rolloutStatus)
	g.app.Post("/rollout/:verb", g.executeRolloutCommand)
}

// Serve serves HTTP on listener until ctx is cancelled.
func (g *Gateway) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		// Connections that are still busy after the timeout are closed on purpose.
		_ = g.app.ShutdownWithTimeout(shutdownTimeout)
	})
	defer stop()
	return g.app.Listener(listener)
}

// HandleRequest handles one request in process, without a network connection.
func (g *Gateway) HandleRequest(r *http.Request) (*http.Response, error) {
	const noTimeout = -1
	return g.app.Test(r, noTimeout)
}
