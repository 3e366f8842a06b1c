// Package config holds the settings that the platform gives a controller: it reads the settings
// file, checks it and derives the durations that follow from it.
//
// The file's JSON keys are wireSettings, in wire.go, and nothing else; each concern has a type of
// its own. Settings do not change once they are loaded, so nothing guards them. The package
// imports nothing of the project.
package config

import "time"

// Settings is everything the platform tells a controller.
type Settings struct {
	Host                   string
	Zone                   string
	ListenAddress          string
	PeerListenAddress      string
	Peers                  []Peer // the other controllers
	CloudAddress           string
	StateAddress           string
	Controllers            int // how many there should be, this one included
	Zones                  []string
	Teams                  map[string]Team // by name
	Objectives             []Objective
	Workers                WorkerTiming
	StateLimits            StateLimits
	CloudRequestsPerSecond float64
	CloudListLag           time.Duration // of the cloud's list of machines
	MemoryBytes            int64
	MaxConnections         int           // sockets that the process may have
	MaxClockOffset         time.Duration // of the time of day, between two hosts
}

// Peer is another controller of the same service.
type Peer struct {
	Host    string
	Zone    string
	Address string
}

// Hosts lists all controllers there are, this one first.
func (s *Settings) Hosts() []string {
	hosts := []string{s.Host}
	for _, peer := range s.Peers {
		hosts = append(hosts, peer.Host)
	}
	return hosts
}

// ZoneOf returns the zone of a controller, or "" if it is not known.
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

// Seconds turns an amount of seconds from the wire into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
