package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// MessageKind is a kind of message of which LateCopies delivers copies.
type MessageKind int

// Kinds of messages that are repeated.
const (
	CommandMessage     MessageKind = iota // direct commands to a worker
	HeartbeatMessage                      // heartbeats
	TransactionMessage                    // transactions of the state service
	LeaseMessage                          // grants, renewals and revocations of leases
	CloudMessage                          // rent and delete requests to the cloud
	PeerMessage                           // calls between controllers but those of QuotaMessage
	QuotaMessage                          // calls to the leader for quota grants
	UserMessage                           // users' requests
	messageKinds
)

// MessageKinds returns all kinds of messages that are repeated.
func MessageKinds() (kinds []MessageKind) {
	for kind := range messageKinds {
		kinds = append(kinds, kind)
	}
	return kinds
}

// A copy arrives from minCopyDelay to minCopyDelay + copyDelaySpread after the answer, which is well
// over a worker's lease.
const (
	minCopyDelay    = time.Second
	copyDelaySpread = 40 * time.Second
)

// LateCopies delivers copies of messages that have been carried out and answered. Nobody waits for
// the answer to a copy. A nil *LateCopies delivers none. It is safe for concurrent use.
type LateCopies struct {
	mu        sync.Mutex
	rng       *rand.Rand
	shares    map[MessageKind]float64
	spread    time.Duration
	delivered map[MessageKind]int
}

// NewLateCopies returns a LateCopies that delivers none until SetShare is called.
func NewLateCopies(seed uint64) *LateCopies {
	return &LateCopies{
		rng: rand.New(rand.NewPCG(seed, 4)), spread: copyDelaySpread,
		shares: map[MessageKind]float64{}, delivered: map[MessageKind]int{},
	}
}

// SetShare sets the share of the messages of the given kinds, from 0 to 1, of which a copy arrives.
func (c *LateCopies) SetShare(share float64, kinds ...MessageKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kind := range kinds {
		c.shares[kind] = share
	}
}

// SetSpread sets by how much the delays of copies differ.
func (c *LateCopies) SetSpread(spread time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spread = spread
}

// Delivered returns the number of copies of a kind that have been delivered.
func (c *LateCopies) Delivered(kind MessageKind) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delivered[kind]
}

// Total returns the number of copies of all kinds that have been delivered.
func (c *LateCopies) Total() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, count := range c.delivered {
		n += count
	}
	return n
}

// Select reports whether a copy of a message that has just been answered is to be delivered, and after
// what delay.
func (c *LateCopies) Select(kind MessageKind) (delay time.Duration, selected bool) {
	if c == nil {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if share := c.shares[kind]; share == 0 || c.rng.Float64() >= share {
		return 0, false
	}
	return minCopyDelay + time.Duration(c.rng.Float64()*float64(c.spread)), true
}

// Repeat calls deliver later, in a goroutine of its own, if a copy of the message that has just been
// answered is to be delivered. The copy is lost if ctx ends before.
func (c *LateCopies) Repeat(ctx context.Context, kind MessageKind, deliver func()) {
	if delay, selected := c.Select(kind); selected {
		go c.DeliverAfter(ctx, delay, kind, deliver)
	}
}

// DeliverAfter waits, calls deliver and counts the copy, unless ctx ends before.
func (c *LateCopies) DeliverAfter(ctx context.Context, delay time.Duration, kind MessageKind, deliver func()) {
	if !Sleep(ctx, delay) {
		return
	}
	c.mu.Lock()
	c.delivered[kind]++
	c.mu.Unlock()
	deliver()
}
