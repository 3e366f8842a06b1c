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

// Requests of one team are granted together only as far as its quota goes; one that does not
// fit leaves its capacity to later ones, and teams without a quota get all.
func TestDecideCountsWhatItGrants(t *testing.T) {
	snapshot := testSnapshot(time.Time{}.Add(time.Hour))
	granted := Decide([]GrantRequest{
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
		t.Errorf("the decision changed the usage: %v", snapshot.Usage)
	}
}

// What nobody can attribute may be any team's.
func TestDecideCountsUnattributedForEachTeam(t *testing.T) {
	snapshot := testSnapshot(time.Time{}.Add(time.Hour))
	snapshot.Unattributed = job.Resources{CPUs: 8, GPUs: 4}
	granted := Decide([]GrantRequest{
		grantRequest("wk-1", "gpus", gpus(1)),
		grantRequest("wk-2", "cpus", job.Resources{CPUs: 9}),
		grantRequest("wk-3", "cpus", job.Resources{CPUs: 8}),
	}, snapshot)
	if want := []bool{false, false, true}; !slices.Equal(granted, want) {
		t.Errorf("granted %v, want %v", granted, want)
	}
}

// A reservation keeps capacity from other jobs of its team, goes to the job that could start
// first, and ends.
func TestReservationKeepsCapacity(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	snapshot := testSnapshot(now)
	later := Reservation{Job: "wk-8", Team: "gpus", Need: gpus(4), Since: 20}
	earlier := Reservation{Job: "wk-9", Team: "gpus", Need: gpus(4), Since: 10}
	snapshot.Reservations.Reserve(later, now)
	snapshot.Reservations.Reserve(earlier, now)
	snapshot.Reservations.Reserve(later, now)
	if CanStart(&later, snapshot) || !CanStart(&earlier, snapshot) {
		t.Error("the reservation is not held by the job that could start first")
	}
	requests := []GrantRequest{grantRequest("wk-1", "gpus", gpus(1)), grantRequest("wk-9", "gpus", gpus(4))}
	if granted, want := Decide(requests, snapshot), []bool{false, true}; !slices.Equal(granted, want) {
		t.Errorf("granted %v, want %v", granted, want)
	}
	snapshot.Now = now.Add(ReservationDuration)
	if granted := Decide(requests[:1], snapshot); !granted[0] {
		t.Error("the reservation has not ended")
	}
	snapshot.Reservations.Reserve(later, snapshot.Now)
	if !CanStart(&later, snapshot) {
		t.Error("a reservation that has ended is in the way of a later one")
	}
	tooLarge := Reservation{Job: "wk-8", Team: "gpus", Need: gpus(5), Since: 20}
	if CanStart(&tooLarge, snapshot) {
		t.Error("5 beside 6 in use are more than 10")
	}
}
