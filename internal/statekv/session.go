package statekv

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"
)

// Divisors of a lease's TTL.
const (
	// renewalsPerTTL is the number of renewals sent within one TTL, so that several may fail.
	renewalsPerTTL = 4
	// The last 1/leaseMarginDivisor of the TTL is the margin in which the session does not rely on
	// the lease, because of clock drift and the duration of writes.
	leaseMarginDivisor = 8
)

// Session is a session of this controller: a key attached to a lease. Every write carries a compare
// that the key still has the session's revision, the incarnation, so no write of this session can
// be applied after its end.
type Session struct {
	Holder
	store  Store
	mirror *Mirror
	ttl    time.Duration
	lease  uint64
	opened time.Time

	aborted chan error // receives the reason if the session must end while it holds the lease

	// mu guards lastRenewal.
	mu          sync.Mutex
	lastRenewal time.Time // when the last successful renewal was sent
}

// Registration is the value of a session's key, with the conditions and changes of the transaction
// that opens the session.
type Registration struct {
	Value    any       // nil for an empty object
	Compares []Compare // OpenSession returns a *ConflictError if one does not hold
	Ops      []Op      // changes written in the same transaction
}

// OpenSession opens a session of host and ends any earlier session that the mirror shows. A delayed
// copy of an earlier registration may be applied late, while its lease is still alive because the
// request to revoke it was lost too. Such a copy must not replace this session, so the key is
// compared with its revision in the mirror. If the compare fails, the next attempt sees the current
// revision.
func OpenSession(
	ctx context.Context, store Store, mirror *Mirror, host string, ttl time.Duration, reg Registration,
) (*Session, error) {
	sent := time.Now()
	lease, err := store.Grant(ctx, ttl)
	if err != nil {
		return nil, fmt.Errorf("obtaining a state lease: %w", err)
	}
	if reg.Value == nil {
		reg.Value = struct{}{}
	}
	key := SessionPrefix + host
	previous, _ := mirror.Get(key)
	when := append(slices.Clone(reg.Compares), Compare{Key: key, Rev: previous.Rev})
	then := append([]Op{{Set: key, Value: reg.Value, Lease: lease}}, reg.Ops...)
	rev, err := store.Txn(ctx, when, then)
	if err != nil {
		// A delayed copy of the transaction must not replace a later registration.
		_ = store.Revoke(ctx, lease)
		return nil, fmt.Errorf("registering the session of %s: %w", host, err)
	}
	return &Session{
		Holder:      Holder{Host: host, Incarnation: rev},
		store:       store,
		mirror:      mirror,
		ttl:         ttl,
		lease:       lease,
		opened:      time.Now(),
		aborted:     make(chan error, 1),
		lastRenewal: sent,
	}, nil
}

// KeepAlive renews the lease until ctx ends, the lease is lost, a later session replaces this one,
// or the session is aborted. The error tells which.
func (s *Session) KeepAlive(ctx context.Context) error {
	tick := time.NewTicker(s.ttl / renewalsPerTTL)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-s.aborted:
			return err
		case <-tick.C:
		}
		sent := time.Now()
		err := s.store.Renew(ctx, s.lease)
		if errors.Is(err, ErrNotFound) {
			return errors.New("state lease has ended")
		}
		if err != nil {
			slog.Debug("state lease renewal failed", "err", err)
			continue
		}
		if kv, ok := s.mirror.Get(SessionPrefix + s.Host); ok && kv.Rev > s.Incarnation {
			return errors.New("replaced by a later session")
		}
		s.mu.Lock()
		s.lastRenewal = sent
		s.mu.Unlock()
	}
}

// Abort ends this session for the given reason. It is used when another controller holds a role
// that only this controller should hold, so that the other controllers no longer treat this session
// as alive.
func (s *Session) Abort(reason error) {
	select {
	case s.aborted <- reason:
	default:
	}
}

// HoldsLease reports whether this session certainly holds its lease now.
func (s *Session) HoldsLease() bool {
	return time.Since(s.LastRenewal()) < s.ttl-s.ttl/leaseMarginDivisor
}

// LastRenewal returns when the last successful renewal was sent.
func (s *Session) LastRenewal() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRenewal
}

// Fence returns the compare that every write of this session carries.
func (s *Session) Fence() Compare { return Compare{Key: SessionPrefix + s.Host, Rev: s.Incarnation} }

// Write applies the changes listed in then if the session's fence and all compares in when hold.
func (s *Session) Write(ctx context.Context, when []Compare, then []Op) (uint64, error) {
	return s.store.Txn(ctx, append([]Compare{s.Fence()}, when...), then)
}
