// Package config holds the settings that the platform gives to a controller: it reads and checks
// the settings file and derives durations from the settings.
//
// wireSettings, in wire.go, and Team define the JSON keys of the file; each group of settings has a
// Go type of its own. Settings do not change after they are loaded, so they need no lock. The
// package imports no other package of the module.
package config

import "time"

// Settings holds all settings of a controller.
type Settings struct {
	Host                   string
	Zone                   string
	ListenAddress          string
	PeerListenAddress      string
	Peers                  []Peer // the other controllers
	CloudAddress           string
	StateAddress           string
	Controllers            int // configured number of controllers, including this one
	Zones                  []string
	Teams                  map[string]Team // by name
	Objectives             []Objective
	Workers                WorkerTiming
	StateLimits            StateLimits
	CloudRequestsPerSecond float64
	CloudListLag           time.Duration // how far the cloud's list of machines may be out of date
	MemoryBytes            int64
	MaxConnections         int           // sockets that the process may have open
	MaxClockOffset         time.Duration // between the wall clocks of two hosts
}

// Peer is another controller of the same cluster.
type Peer struct {
	Host    string
	Zone    string
	Address string
}

// Hosts returns the hosts of all configured controllers, this one first.
func (s *Settings) Hosts() []string {
	hosts := []string{s.Host}
	for _, peer := range s.Peers {
		hosts = append(hosts, peer.Host)
	}
	return hosts
}

// ZoneOf returns the zone of a controller, or "" for an unknown host.
func (s *Settings) ZoneOf(host string) string {
	if host == s.Host {
		return s.Zone
	}
	for _, peer := range s.Peers {
		if peer.Host == host {
			return peer.Zone
		}
	}
	return ""
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
