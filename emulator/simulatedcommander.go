package emulator

import (
	"context"
	"errors"
	"fmt"

	"robinstack/internal/worker"
)

// Commander sends one controller's commands directly to the workers of a SimulatedCloud.
type Commander struct {
	cloud *SimulatedCloud
	host  string
}

// Commander returns the Commander of the controller on a host.
func (c *SimulatedCloud) Commander(host string) Commander { return Commander{c, host} }

// Errors for commands that a worker does not answer.
var (
	errNoResponse      = errors.New("no response from worker")
	errResponseTimeout = fmt.Errorf("no response from worker within %v", clientTimeout)
)

// commandResult is a worker's response to commands.
type commandResult struct {
	heartbeat worker.Heartbeat
	executed  bool
}

// Send sends commands to the worker of the machine at address and reports whether the worker
// executed them. Commands that are delayed beyond the time-out of Send are executed later, if the
// fencing token and the worker epoch are still valid by then.
func (c Commander) Send(
	ctx context.Context, address string, token, epoch uint64, commands []worker.Command,
) (*worker.Heartbeat, bool, error) {
	c.cloud.mu.Lock()
	m := c.cloud.machines[address]
	if m == nil || !m.reachableFrom(c.host) {
		c.cloud.mu.Unlock()
		Sleep(ctx, clientTimeout)
		return nil, false, errNoResponse
	}
	delay := m.CommandDelay
	c.cloud.mu.Unlock()
	done := make(chan commandResult, 1)
	go func() {
		if delay > 0 && !Sleep(m.ctx, delay) {
			return
		}
		if heartbeat, executed, ok := m.execute(token, epoch, commands); ok {
			done <- commandResult{heartbeat, executed}
		}
	}()
	waitCtx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	select {
	case result := <-done:
		return &result.heartbeat, result.executed, nil
	case <-waitCtx.Done():
		return nil, false, errResponseTimeout
	}
}
