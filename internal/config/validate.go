package config

import (
	"errors"
	"fmt"
	"net"
)

// validation collects an error for each invalid field of the settings file.
type validation struct{ errs []error }

const mustBePositive = "must be above 0"

// require adds an error about field unless ok.
func (v *validation) require(ok bool, field, problem string) {
	if !ok {
		v.errs = append(v.errs, fmt.Errorf("%s: %s", field, problem))
	}
}

func (v *validation) requireAddress(address, field string) {
	_, _, err := net.SplitHostPort(address)
	v.require(err == nil, field, fmt.Sprintf("%q is not host:port", address))
}

// validate checks the file and the settings that were converted from it.
func validate(wire *wireSettings, settings *Settings) error {
	v := &validation{}
	v.require(settings.Host != "", "host_name", "is missing")
	v.requireAddress(settings.ListenAddress, "listen")
	v.requireAddress(settings.PeerListenAddress, "peer_bind")
	v.requireAddress(settings.CloudAddress, "external.cloud")
	v.requireAddress(settings.StateAddress, "external.state")
	v.peers(settings)
	v.teams(wire.Facts.Teams)
	v.workerTiming(settings.Workers)
	v.stateLimits(settings.StateLimits, len(settings.Peers)+1)
	v.require(settings.CloudRequestsPerSecond > 0, "facts.cloud.rps", mustBePositive)
	return errors.Join(v.errs...)
}

func (v *validation) peers(settings *Settings) {
	seen := map[string]bool{settings.Host: true}
	for i, peer := range settings.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		v.require(peer.Host != "" && !seen[peer.Host], field+".host_name", "is missing or repeated")
		seen[peer.Host] = true
		v.requireAddress(peer.Address, field+".address")
	}
}

func (v *validation) teams(teams []Team) {
	seen := map[string]bool{}
	for i, team := range teams {
		field := fmt.Sprintf("facts.teams[%d]", i)
		v.require(team.Name != "" && !seen[team.Name], field+".name", "is missing or repeated")
		seen[team.Name] = true
		lowest := min(team.GuaranteedCPUs, team.CPUQuota, team.GuaranteedGPUs, team.GPUQuota)
		v.require(lowest >= 0, field, "has a negative amount")
	}
}

func (v *validation) workerTiming(timing WorkerTiming) {
	v.require(timing.HeartbeatInterval > 0, "facts.workers.report_s", mustBePositive)
	v.require(timing.LeaseDuration > timing.HeartbeatInterval, "facts.workers.lease_s",
		fmt.Sprintf("must be above report_s (%v), got %v", timing.HeartbeatInterval, timing.LeaseDuration))
	// The slack is added to the lease and not subtracted from the deadline: a cancel_s that is too
	// large for a time.Duration becomes negative, and a subtraction could wrap around to a positive
	// value that passes the check.
	earliest := timing.LeaseDuration + minCancellationSlack
	v.require(timing.CancellationDeadline >= earliest, "facts.workers.cancel_s",
		fmt.Sprintf("must be at least %v above lease_s (%v), got %v",
			minCancellationSlack, timing.LeaseDuration, timing.CancellationDeadline))
	v.require(timing.GangWaitTimeout > 0, "facts.workers.gang_wait_s", mustBePositive)
}

func (v *validation) stateLimits(limits StateLimits, controllers int) {
	v.require(limits.RequestsPerSecond > 0, "facts.state.rps", mustBePositive+"; next.rps must not be negative")
	v.require(limits.WritesPerSecond > 0, "facts.state.write_rps",
		mustBePositive+"; next.write_rps must not be negative")
	v.require(limits.MaxValueBytes >= minValueBytes, "facts.state.value_kb",
		"must be at least 2, and next.value_kb as well")
	minOps := requiredTxnOps(controllers)
	v.require(limits.MaxTxnOps >= minOps, "facts.state.txn_ops",
		fmt.Sprintf("must be at least %d with %d controllers, and next.txn_ops as well", minOps, controllers))
}
