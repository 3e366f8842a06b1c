package emulator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/statekv"
)

// fakeMachineLister is a cloud.API that implements Machines only.
type fakeMachineLister struct {
	cloud.API
	count int
}

func (l *fakeMachineLister) Machines(context.Context) (out []cloud.Machine, err error) {
	for k := range l.count {
		out = append(out, cloud.Machine{Name: fmt.Sprintf("vm-%06d", k+1)})
	}
	return out, nil
}

// The machine list must lag by the configured time, and requests over the rate limit must be
// rejected with status 429.
func TestCloudServerAppliesListLagAndRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		api := &fakeMachineLister{count: 2}
		s := NewCloudServer(api, 2, 4*time.Second)
		for _, step := range []struct{ count, listed int }{{2, 0}, {3, 0}, {3, 2}, {3, 3}} {
			api.count = step.count
			machines, err := s.machinesWithLag(t.Context(), time.Now())
			if err != nil || len(machines) != step.listed {
				t.Errorf("listed machines: got %d, %v, want %d, nil", len(machines), err, step.listed)
			}
			time.Sleep(2 * time.Second)
		}
		codes := map[int]int{}
		for range 6 {
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/hosts?page=2", nil))
			codes[w.Code]++
		}
		if codes[200] != 4 || codes[429] != 2 || s.RateLimited() != 2 {
			t.Errorf("responses by status: got %v, want 4 of 200 and 2 of 429; RateLimited: got %d, want 2",
				codes, s.RateLimited())
		}
	})
}

// The state service must reject requests and changes over its rate limits, and must answer a watch
// that starts before the oldest retained event with ErrCompacted.
func TestStateServiceEnforcesRateLimitsAndCompacts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStateService()
		limits := NewRateLimits(10, 4)
		s.SetRateLimits(limits)
		if !limits.allow(3) || limits.allow(2) || !limits.allow(1) || limits.Rejected.Load() != 1 {
			t.Error("3, 2 and 1 changes at a limit of 4: want allowed, rejected, allowed, and Rejected = 1")
		}
		time.Sleep(time.Second)
		for k := range 12 {
			if allowed := limits.allow(0); allowed != (k < 10) {
				t.Errorf("request %d allowed: got %v, want %v", k, allowed, k < 10)
			}
		}
		for range 2*minRetainedEvents + 1 {
			_, _ = s.Txn(t.Context(), nil, []statekv.Op{{Set: "k", Value: 1}})
		}
		if _, err := s.Watch(t.Context(), "", 1, 0); !errors.Is(err, statekv.ErrCompacted) {
			t.Errorf("watch from compacted revision 1: got error %v, want %v", err, statekv.ErrCompacted)
		}
	})
}
