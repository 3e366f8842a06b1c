package quota

import (
	"slices"
	"testing"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
)

func testSnapshot(now time.Time) *Snapshot {
	return &Snapshot{
		Teams: map[string]config.Team{
			"gpus": {Name: "gpus", GPUQuota: 10},
			"cpus": {Name: "cpus", CPUQuota: 16},
		},
		Usage:        map[string]job.Resources{"gpus": gpus(6)},
		Reservations: NewReservations(),
		Now:          now,
	}
}

// Requests of one team are granted up to its quota. A request that does not fit does not block
// smaller requests after it. A team without a quota gets everything.
func TestDecideGrantsCountsEarlierGrants(t *testing.T) {
	snapshot := testSnapshot(time.Time{}.Add(time.Hour))
	granted := DecideGrants([]GrantRequest{
		grantRequest("wk-1", "gpus", gpus(3)),
		grantRequest("wk-2", "gpus", gpus(2)),
		grantRequest("wk-3", "gpus", gpus(1)),
		grantRequest("wk-4", "cpus", job.Resources{CPUs: 17}),
		grantRequest("wk-5", "cpus", job.Resources{CPUs: 16, GPUs: 100}),
		grantRequest("wk-6", "unlimited", gpus(1000)),
	}, snapshot)
	if want := []bool{true, false, true, false, true, true}; !slices.Equal(granted, want) {
		t.Errorf("granted %v, want %v", granted, want)
	}
	if snapshot.Usage["gpus"] != gpus(6) {
		t.Errorf("DecideGrants changed the usage to %v", snapshot.Usage)
	}
}

// Guards against exceeding a quota: resources whose team is not known count against every team.
func TestDecideGrantsCountsUnattributedCapacityForEveryTeam(t *testing.T) {
	snapshot := testSnapshot(time.Time{}.Add(time.Hour))
	snapshot.Unattributed = job.Resources{CPUs: 8, GPUs: 4}
	granted := DecideGrants([]GrantRequest{
		grantRequest("wk-1", "gpus", gpus(1)),
		grantRequest("wk-2", "cpus", job.Resources{CPUs: 9}),
		grantRequest("wk-3", "cpus", job.Resources{CPUs: 8}),
	}, snapshot)
	if want := []bool{false, false, true}; !slices.Equal(granted, want) {
		t.Errorf("granted %v, want %v", granted, want)
	}
}

// A reservation excludes other jobs of its team from the reserved resources, belongs to the job
// that became ready first, and expires.
func TestReservationLifecycle(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	snapshot := testSnapshot(now)
	later := Reservation{Job: "wk-8", Team: "gpus", Need: gpus(4), Since: 20}
	earlier := Reservation{Job: "wk-9", Team: "gpus", Need: gpus(4), Since: 10}
	snapshot.Reservations.Reserve(later, now)
	snapshot.Reservations.Reserve(earlier, now)
	snapshot.Reservations.Reserve(later, now)
	if CanStart(&later, snapshot) || !CanStart(&earlier, snapshot) {
		t.Error("the reservation is not held by the job that became ready first")
	}
	requests := []GrantRequest{grantRequest("wk-1", "gpus", gpus(1)), grantRequest("wk-9", "gpus", gpus(4))}
	if granted, want := DecideGrants(requests, snapshot), []bool{false, true}; !slices.Equal(granted, want) {
		t.Errorf("granted %v, want %v", granted, want)
	}
	snapshot.Now = now.Add(ReservationDuration)
	if granted := DecideGrants(requests[:1], snapshot); !granted[0] {
		t.Error("got no grant after the reservation expired")
	}
	snapshot.Reservations.Reserve(later, snapshot.Now)
	if !CanStart(&later, snapshot) {
		t.Error("an expired reservation blocks a later one")
	}
	tooLarge := Reservation{Job: "wk-8", Team: "gpus", Need: gpus(5), Since: 20}
	if CanStart(&tooLarge, snapshot) {
		t.Error("a job of 5 GPUs can start next to 6 in use despite the quota of 10")
	}
}
