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

// listed is a cloud that only lists machines.
type listed struct {
	cloud.API
	names int
}

func (l *listed) Machines(context.Context) (out []cloud.Machine, err error) {
	for k := range l.names {
		out = append(out, cloud.Machine{Name: fmt.Sprintf("vm-%06d", k+1)})
	}
	return out, nil
}

// Lists are old by the lag, and what is beyond the limit is refused.
func TestCloudServerKeepsLagAndLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		api := &listed{names: 2}
		s := NewCloudServer(api, 2, 4*time.Second)
		for _, step := range []struct{ names, shown int }{{2, 0}, {3, 0}, {3, 2}, {3, 3}} {
			api.names = step.names
			machines, err := s.list(t.Context(), time.Now())
			if err != nil || len(machines) != step.shown {
				t.Errorf("%d of %d machines are listed, %v", len(machines), step.names, err)
			}
			time.Sleep(2 * time.Second)
		}
		codes := map[int]int{}
		for range 6 {
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/hosts?page=2", nil))
			codes[w.Code]++
		}
		if codes[200] != 4 || codes[429] != 2 || s.Refused() != 2 {
			t.Errorf("answers: %v", codes)
		}
	})
}

// The state service refuses requests and changes beyond its limits, and tells who follows
// from too far back so.
func TestStateServiceKeepsItsLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStateService()
		limits := NewRateLimits(10, 4)
		s.SetRateLimits(limits)
		if !limits.admit(3) || limits.admit(2) || !limits.admit(1) || limits.Refused.Load() != 1 {
			t.Error("a second's worth of changes passes, and no more")
		}
		time.Sleep(time.Second)
		for k := range 12 {
			if admitted := limits.admit(0); admitted != (k < 10) {
				t.Errorf("request %d: %v", k, admitted)
			}
		}
		for range 2*keptEvents + 1 {
			_, _ = s.Txn(t.Context(), nil, []statekv.Op{{Set: "k", Value: 1}})
		}
		if _, err := s.Watch(t.Context(), "", 1, 0); !errors.Is(err, statekv.ErrCompacted) {
			t.Errorf("following from the beginning: %v", err)
		}
	})
}
