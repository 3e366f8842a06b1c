package emulator

import (
	"context"
	"errors"

	"robinstack/internal/worker"
)

// Commander sends the commands of one controller straight to simulated workers.
type Commander struct {
	cloud *SimulatedCloud
	host  string
}

// Commander returns the commander of a controller.
func (c *SimulatedCloud) Commander(host string) Commander { return Commander{c, host} }

// What a commander is told of a worker that does not answer.
var (
	errNoAnswer       = errors.New("no answer")
	errNoAnswerInTime = errors.New("no answer in time")
)

// commandResult is a worker's answer to commands.
type commandResult struct {
	heartbeat worker.Heartbeat
	executed  bool
}

// Send carries commands to a machine. What is held up is carried out later, if token and
// worker epoch still match.
func (c Commander) Send(
	ctx context.Context, address string, token, epoch uint64, commands []worker.Command,
) (*worker.Heartbeat, bool, error) {
	c.cloud.mu.Lock()
	m := c.cloud.machines[address]
	if m == nil || !m.reachableFrom(c.host) {
		c.cloud.mu.Unlock()
		sleep(ctx, clientTimeout)
		return nil, false, errNoAnswer
	}
	delay := m.CommandDelay
	c.cloud.mu.Unlock()
	done := make(chan commandResult, 1)
	go func() {
		if delay > 0 && !sleep(m.ctx, delay) {
			return
		}
		if heartbeat, executed, ok := m.execute(token, epoch, commands); ok {
			done <- commandResult{heartbeat, executed}
		}
	}()
	waitCtx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	select {
	case r := <-done:
		return &r.heartbeat, r.executed, nil
	case <-waitCtx.Done():
		return nil, false, errNoAnswerInTime
	}
}
