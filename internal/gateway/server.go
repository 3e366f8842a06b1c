// Package gateway serves users, workers and operators over HTTP: submissions, queries,
// cancellations, heartbeats, readiness, the status page and commands of a roll-out.
//
// A Gateway lives as long as its process. What belongs to one session in the state service is in
// Components, which the controller puts in place when a session begins and removes when it ends;
// a request reads it once, through an atomic pointer. The gateway's own state is a cache of
// tombstones, the admission queue of queries and the latencies of its answers, each guarded by a
// mutex of its own, which is never held over I/O. Decisions are made over snapshots of the mirror.
//
// Handlers return errors; errors.go alone maps them to status codes. Beside the packages of the
// controller's components it imports the HTTP framework; only the controller and tools import it.
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
	maxBodyBytes = 64 << 10 // the protocol's limit
	// idleTimeout is also how long a request may take to arrive.
	idleTimeout     = 2 * time.Minute
	writeTimeout    = 10 * time.Second
	shutdownTimeout = time.Second
	// minConnections are served however few sockets the settings allow.
	minConnections = 64
)

// Gateway answers HTTP requests.
type Gateway struct {
	settings      *config.Settings
	store         statekv.Store
	catalogue     *cloud.Catalogue
	app           *fiber.App
	processPauses func() (count int, longest time.Duration)

	components     atomic.Pointer[Components] // nil between sessions
	notReadyReason atomic.Pointer[string]     // why there is no session

	latencies       *latencyRecorder
	admission       admissionQueue
	rejectedQueries atomic.Int64 // because too many came
	tombstones      tombstoneCache
	tombstoneLookup *tombstone.BatchedLookup
}

// New returns a gateway that has no session to serve yet. processPauses returns how often the
// process stood still, and for how long at most.
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

// servedConnections is how many connections are served at a time: three quarters of the sockets
// that the process may have. The rest is for what it asks itself. With half, the connections of
// 1,200 workers left none for the load balancer's probes.
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

// Serve answers on listener until ctx ends.
func (g *Gateway) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		// Connections that are still busy after the timeout are cut off, as intended.
		_ = g.app.ShutdownWithTimeout(shutdownTimeout)
	})
	defer stop()
	return g.app.Listener(listener)
}

// HandleRequest answers one request without a network.
func (g *Gateway) HandleRequest(r *http.Request) (*http.Response, error) {
	const noTimeout = -1
	return g.app.Test(r, noTimeout)
}
