package worker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"robinstack/internal/httpjson"
)

const (
	commandTimeout = 2 * time.Second
	// maxConnectionsPerWorker bounds the number of commands in flight to one worker.
	maxConnectionsPerWorker = 4
	// idleConnectionTimeout is how long a connection to a worker is kept open without commands.
	// Each machine needs a connection of its own, and most commands are sent in answers to
	// heartbeats. A thousand idle connections would be a third of the sockets that a controller may
	// have.
	idleConnectionTimeout = 3 * time.Second
)

// Commander sends commands to workers.
type Commander interface {
	// Send sends commands to the worker at address. The worker carries them out only if it has seen
	// no higher fencing token and is in the given worker epoch. Send returns the worker's heartbeat
	// and whether the commands were carried out. An error means that the outcome is unknown: the
	// worker may have carried them out, or may yet do so.
	Send(
		ctx context.Context, address string, fencingToken, workerEpoch uint64, commands []Command,
	) (heartbeat *Heartbeat, executed bool, err error)
}

// Client implements Commander over HTTP.
type Client struct{ http *httpjson.Client }

// NewClient returns a client for commands to workers.
func NewClient() *Client {
	return &Client{http: httpjson.New(commandTimeout, maxConnectionsPerWorker, idleConnectionTimeout)}
}

type commandRequest struct {
	FencingToken uint64    `json:"baton"`
	WorkerEpoch  uint64    `json:"tenure"`
	Commands     []Command `json:"orders"`
}

// Send implements Commander.
func (c *Client) Send(
	ctx context.Context, address string, fencingToken, workerEpoch uint64, commands []Command,
) (*Heartbeat, bool, error) {
	if commands == nil {
		commands = []Command{} // the protocol requires a list, not null
	}
	request := commandRequest{FencingToken: fencingToken, WorkerEpoch: workerEpoch, Commands: commands}
	response, err := c.http.Do(ctx, http.MethodPost, "http://"+address+"/do", request, 0)
	if err != nil {
		return nil, false, err
	}
	executed := response.Status == http.StatusOK
	if !executed && response.Status != http.StatusConflict {
		return nil, false, fmt.Errorf("worker %s: status %d", address, response.Status)
	}
	var heartbeat Heartbeat
	if err := response.Decode(&heartbeat); err != nil {
		return nil, false, err
	}
	return &heartbeat, executed, nil
}
