package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"robinstack/internal/statekv"
)

// Keys are the keys of the state service as last seen; *statekv.Mirror implements it.
type Keys interface {
	Get(key string) (statekv.KV, bool)
	Dir(prefix string) []statekv.KV
}

// Controller is one controller as the deciding one sees it.
type Controller struct {
	Host           string
	Rev            uint64        // of its session's key; 0: it has no session
	Capabilities   Capabilities  // of its session
	DecodeError    string        // why its session's key cannot be decoded, or ""
	Alive          bool          // it has a session that is not rejected
	RejectedReason string        // why others ended its session, or ""
	StateAge       time.Duration // how long it has been so, as the deciding one observed
}

// Snapshot is all that a decision depends on: the keys as of one moment, and how long they
// have been so.
type Snapshot struct {
	Self               string // host of the deciding controller
	Version            ClusterVersion
	VersionRev         uint64
	VersionDecodeError string        // why the version's key cannot be decoded, or ""
	VersionAge         time.Duration // since the version got its number
	Controllers        []Controller  // those in the settings and those that have a session, by host
	MembershipRev      uint64
	LeaderEpoch        uint64 // revision of the leader's role if this controller has it, else 0
	Migration          Migration
	MigrationRev       uint64

	SoakTime       time.Duration // how long all controllers have to have been up
	AbsenceTimeout time.Duration // how long a controller of the settings that is down is waited for
	HeldByPolicy   bool          // by this controller's policy

	// JobsNeeding lists the unfinished jobs that need a feature; nil: they are not known.
	JobsNeeding func(Feature) []string
}

// NewSnapshot returns what the keys say. hosts are those in the settings; known is the
// version to keep where its key cannot be decoded. Ages, the policy and who is deciding
// are for the caller to add.
func NewSnapshot(keys Keys, hosts []string, known ClusterVersion) Snapshot {
	var s Snapshot
	if kv, ok := keys.Get(statekv.ClusterVersionKey); ok {
		s.VersionRev = kv.Rev
		var err error
		if s.Version, err = ParseClusterVersion(kv.Value); err != nil {
			s.Version, s.VersionDecodeError = known, err.Error()
		}
	}
	membership, _ := keys.Get(statekv.MembershipKey) // absent: revision 0
	s.MembershipRev = membership.Rev
	if kv, ok := keys.Get(statekv.MigrationKey); ok {
		s.MigrationRev = kv.Rev
		if err := json.Unmarshal(kv.Value, &s.Migration); err != nil {
			s.Migration = Migration{Name: undecodableMigration}
		}
	}
	s.Controllers = controllersOf(keys.Dir(statekv.SessionPrefix), hosts)
	return s
}

// controllersOf returns the controllers that have a session or are in the settings, by
// host.
func controllersOf(sessions []statekv.KV, hosts []string) []Controller {
	byHost := map[string]Controller{}
	for _, host := range hosts {
		byHost[host] = Controller{Host: host}
	}
	for _, kv := range sessions {
		host := kv.Key[len(statekv.SessionPrefix):]
		byHost[host] = controllerOf(host, kv)
	}
	var controllers []Controller
	for _, host := range slices.Sorted(maps.Keys(byHost)) {
		controllers = append(controllers, byHost[host])
	}
	return controllers
}

func controllerOf(host string, session statekv.KV) Controller {
	c := Controller{Host: host, Rev: session.Rev, RejectedReason: statekv.RejectionReason(session)}
	if c.RejectedReason != "" {
		return c
	}
	c.Alive = true
	var err error
	if c.Capabilities, err = ParseCapabilities(session.Value); err != nil {
		c.DecodeError = err.Error()
	}
	return c
}

// unwritable says why no controller of this build may write the version's key at all, or
// "".
func (s *Snapshot) unwritable() string {
	if s.VersionDecodeError != "" {
		return statekv.ClusterVersionKey + " cannot be read: " + s.VersionDecodeError
	}
	unknown := func(feature Feature) bool { return gateOf(feature) == nil }
	if slices.ContainsFunc(s.Version.Features, unknown) {
		return fmt.Sprintf("level %d has features that this build (%s) does not know", s.Version.Number, BuildVersion)
	}
	return ""
}

// incompatibility names a live controller that lacks something for a version, and what;
// "" if there is none.
func (s *Snapshot) incompatibility(version ClusterVersion) string {
	for _, c := range s.Controllers {
		if !c.Alive {
			continue
		}
		if c.DecodeError != "" {
			return fmt.Sprintf("%s%s cannot be read: %s", statekv.SessionPrefix, c.Host, c.DecodeError)
		}
		if missing := c.Capabilities.Missing(version); missing != "" {
			return fmt.Sprintf("%s (build %s) lacks %s", c.Host, c.Capabilities.Build, missing)
		}
	}
	return ""
}

// maxJobsNamed bounds the jobs that are named as preventing a feature from being disabled.
const maxJobsNamed = 5

// stillNeeded says what is stored and needs a feature, or "".
func (s *Snapshot) stillNeeded(feature Feature) string {
	if s.JobsNeeding == nil {
		return ""
	}
	ids := s.JobsNeeding(feature)
	if len(ids) == 0 {
		return ""
	}
	slices.Sort(ids)
	named := strings.Join(ids[:min(maxJobsNamed, len(ids))], ", ")
	return fmt.Sprintf("%d unfinished jobs need feature %q, among them %s", len(ids), feature, named)
}
