package emulator

import (
	"context"
	"time"

	"robinstack/internal/statekv"
)

// Grant makes a lease. It does not end by itself.
func (s *StateService) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, statekv.ErrRejected
	}
	s.lastLease++
	id := s.lastLease
	s.leaseDeadlines[id] = time.Now().Add(ttl)
	return id, nil
}

// grantExpiring makes a lease that ends by itself unless it is renewed in time.
func (s *StateService) grantExpiring(ctx context.Context, ttl time.Duration) (uint64, error) {
	id, err := s.Grant(ctx, ttl)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.leaseTTLs[id] = ttl
	s.mu.Unlock()
	return id, nil
}

// Renew reports whether a lease exists: statekv.ErrNotFound if it does not.
func (s *StateService) Renew(_ context.Context, lease uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return statekv.ErrRejected
	}
	if _, ok := s.leaseDeadlines[lease]; !ok {
		return statekv.ErrNotFound
	}
	return nil
}

// renewExpiring gives a lease that ends by itself its full time again.
func (s *StateService) renewExpiring(ctx context.Context, lease uint64) error {
	if err := s.Renew(ctx, lease); err != nil {
		return err
	}
	s.mu.Lock()
	s.leaseDeadlines[lease] = time.Now().Add(s.leaseTTLs[lease])
	s.mu.Unlock()
	return nil
}

// Revoke ends a lease and removes its keys.
func (s *StateService) Revoke(_ context.Context, lease uint64) error {
	s.revoke(lease)
	return nil
}

func (s *StateService) revoke(lease uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leaseDeadlines, lease)
	for key, of := range s.keyLeases {
		if of == lease && lease != 0 {
			s.revision++
			delete(s.keys, key)
			delete(s.keyLeases, key)
			s.recordEvent(statekv.Event{Delete: key, Rev: s.revision})
		}
	}
}

func (s *StateService) leaseExists(lease uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.leaseDeadlines[lease]
	return ok
}

// revokeExpired ends the leases that end by themselves and were not renewed in time. In an
// outage none ends.
func (s *StateService) revokeExpired(now time.Time) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	var expired []uint64
	for id, deadline := range s.leaseDeadlines {
		if s.leaseTTLs[id] > 0 && now.After(deadline) {
			expired = append(expired, id)
		}
	}
	s.mu.Unlock()
	for _, id := range expired {
		s.revoke(id)
	}
}

// expiryInterval is how often leases are looked at when no request comes.
const expiryInterval = 50 * time.Millisecond

// ExpireLeases ends leases that nobody renews although no request comes, until stop is
// closed.
func (s *StateService) ExpireLeases(stop <-chan struct{}) {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			s.revokeExpired(now)
		}
	}
}
