package statekv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sort"
	"sync"
	"time"
)

// FleetPrefix is the prefix of the keys that every controller mirrors.
const FleetPrefix = "robin/fleet/"

// Keys of roles and of what the fleet knows.
const (
	RootPrefix    = "robin/"
	NodePrefix    = FleetPrefix + "node/"
	SlotPrefix    = FleetPrefix + "slot/"
	MachinePrefix = FleetPrefix + "machine/"
	ShardPrefix   = FleetPrefix + "shard/"
	StewardKey    = FleetPrefix + "steward"
	TypesKey      = FleetPrefix + "types"
)

// Holder says which life of which controller holds a role.
type Holder struct {
	Host     string `json:"host"`
	Instance uint64 `json:"instance"`
}

// Member is one life of this controller: a key attached to a state lease.
// Every write carries the condition that the key still has its revision, so
// nothing this life sent can be applied after its end.
type Member struct {
	Holder
	store  Store
	mirror *Mirror
	ttl    time.Duration
	lease  uint64

	replaced chan error // why another has taken over although the lease is held

	mu      sync.Mutex
	renewed time.Time // when the last successful renewal was sent
}

// Join registers a new life of host, ending any earlier one.
func Join(ctx context.Context, store Store, mirror *Mirror, host string, ttl time.Duration) (*Member, error) {
	sent := time.Now()
	lease, err := store.Grant(ctx, ttl)
	if err != nil {
		return nil, fmt.Errorf("obtaining a state lease: %w", err)
	}
	rev, err := store.Txn(ctx, nil, []Op{{Set: NodePrefix + host, Value: struct{}{}, Lease: lease}})
	if err != nil {
		// A copy applied late must not replace a later registration.
		_ = store.Revoke(ctx, lease)
		return nil, fmt.Errorf("registering: %w", err)
	}
	return &Member{Holder: Holder{Host: host, Instance: rev}, store: store, mirror: mirror, ttl: ttl, lease: lease, replaced: make(chan error, 1), renewed: sent}, nil
}

// Keep renews the lease until ctx ends or the lease is lost.
func (m *Member) Keep(ctx context.Context) error {
	tick := time.NewTicker(m.ttl / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-m.replaced:
			return err
		case <-tick.C:
		}
		sent := time.Now()
		err := m.store.Renew(ctx, m.lease)
		if errors.Is(err, ErrNotFound) {
			return errors.New("state lease has ended")
		}
		if err != nil {
			slog.Debug("renewing the state lease", "err", err)
			continue
		}
		if kv, ok := m.mirror.Get(NodePrefix + m.Host); ok && kv.Rev > m.Instance {
			return errors.New("replaced by a later life")
		}
		m.mu.Lock()
		m.renewed = sent
		m.mu.Unlock()
	}
}

// Replaced ends this life, for the given reason: another controller holds a role
// that only it should hold, so that others do not take it for alive.
func (m *Member) Replaced(reason error) {
	select {
	case m.replaced <- reason:
	default:
	}
}

// Certain reports whether the lease is certainly held right now.
func (m *Member) Certain() bool { return time.Since(m.Renewed()) < m.ttl-m.ttl/8 }

// Renewed is when the last successful renewal was sent.
func (m *Member) Renewed() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewed
}

// Cond is the condition that every write of this life carries.
func (m *Member) Cond() Cond { return Cond{Key: NodePrefix + m.Host, Rev: m.Instance} }

// Alive reports whether the holder's life goes on, as far as the mirror shows.
func (m *Member) Alive(h Holder) bool {
	kv, ok := m.mirror.Get(NodePrefix + h.Host)
	return ok && kv.Rev == h.Instance
}

// AliveHosts lists the controllers that are alive, in order.
func (m *Member) AliveHosts() []string {
	var hosts []string
	for _, kv := range m.mirror.Dir(NodePrefix) {
		hosts = append(hosts, kv.Key[len(NodePrefix):])
	}
	sort.Strings(hosts)
	return hosts
}

// Write applies ops under the member's condition and the given ones.
func (m *Member) Write(ctx context.Context, when []Cond, then []Op) (uint64, error) {
	return m.store.Txn(ctx, append([]Cond{m.Cond()}, when...), then)
}

// Take writes a role's key if it still has the revision seen, and returns the
// new revision, which fences off earlier holders. from is the holder whose life
// is over: the state service checks that too, whatever the mirror shows. If an
// answer is lost, the next try meets its own write and recognises it.
func (m *Member) Take(ctx context.Context, key string, seen uint64, from Holder, value any) (uint64, error) {
	when := []Cond{{Key: key, Rev: seen}}
	if from.Host != "" && from.Host != m.Host {
		later, _ := m.mirror.Get(NodePrefix + from.Host)
		when = append(when, Cond{Key: NodePrefix + from.Host, Rev: later.Rev})
	}
	rev, err := m.Write(ctx, when, []Op{{Set: key, Value: value}})
	if !IsConflict(err) {
		return rev, err
	}
	kv, readErr := m.store.Get(ctx, key)
	if readErr != nil {
		return 0, err
	}
	var h Holder
	if json.Unmarshal(kv.Value, &h) == nil && h == m.Holder {
		return kv.Rev, nil
	}
	return 0, err
}
