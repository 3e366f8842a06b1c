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

// KeyReader reads the keys of the state service as last seen. *statekv.Mirror implements it.
type KeyReader interface {
	Get(key string) (statekv.KV, bool)
	Dir(prefix string) []statekv.KV
}

// Controller is the state of one controller as the deciding controller sees it.
type Controller struct {
	Host           string
	Rev            uint64        // revision of its session key; 0: it has no session
	Capabilities   Capabilities  // of the build, as its session registered them
	DecodeError    string        // why its session key cannot be decoded, or ""
	Alive          bool          // whether it has a session that is not rejected
	RejectedReason string        // why another controller rejected its session, or ""
	StateAge       time.Duration // how long it has been down, or up with this session
}

// Snapshot is everything that a decision depends on: the keys at one moment, how long the deciding
// controller has observed them unchanged, and the policy.
type Snapshot struct {
	Self               string // host of the deciding controller
	Version            ClusterVersion
	VersionRev         uint64
	VersionDecodeError string        // why the version cannot be decoded, or ""
	VersionAge         time.Duration // how long the version has had this number
	Controllers        []Controller  // those in the settings and those with a session, sorted by host
	MembershipRev      uint64
	LeaderEpoch        uint64 // revision of the leader's key if the deciding controller is leader, else 0
	Migration          Migration
	MigrationRev       uint64

	SoakTime       time.Duration // how long all controllers have to be up before a raise
	AbsenceTimeout time.Duration // how long a raise waits for a controller of the settings that is down
	HeldByPolicy   bool          // whether the deciding controller's policy forbids raises

	// JobsNeeding lists the unfinished jobs that need a feature. It is nil if the jobs are not
	// known.
	JobsNeeding func(Feature) []string
}

// NewSnapshot returns a snapshot of the keys. hosts are those in the settings. known is the version
// to assume if the stored one cannot be decoded. The caller adds the ages, the policy, the jobs and
// the deciding controller.
func NewSnapshot(keys KeyReader, hosts []string, known ClusterVersion) Snapshot {
	var s Snapshot
	if kv, ok := keys.Get(statekv.ClusterVersionKey); ok {
		s.VersionRev = kv.Rev
		var err error
		if s.Version, err = ParseClusterVersion(kv.Value); err != nil {
			s.Version, s.VersionDecodeError = known, err.Error()
		}
	}
	membership, _ := keys.Get(statekv.MembershipKey) // revision 0 if absent
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

// controllersOf returns the controllers that have a session or are in the settings, sorted by host.
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

// writeBlockedBy returns why no controller of this build may write the version's key at all, or "".
func (s *Snapshot) writeBlockedBy() string {
	if s.VersionDecodeError != "" {
		return statekv.ClusterVersionKey + " cannot be read: " + s.VersionDecodeError
	}
	unknown := func(feature Feature) bool { return gateOf(feature) == nil }
	if slices.ContainsFunc(s.Version.Features, unknown) {
		return fmt.Sprintf("level %d has features that this build (%s) does not know", s.Version.Number, BuildVersion)
	}
	return ""
}

// incompatibility returns which live controller cannot run at a version and what it lacks, or "". A
// controller whose session key cannot be decoded counts as unable to run at any version.
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

// maxJobsNamed bounds the jobs that are named in the reason why a feature cannot be disabled.
const maxJobsNamed = 5

// neededByJobs returns which unfinished jobs need a feature, for operators, or "" if none is known.
func (s *Snapshot) neededByJobs(feature Feature) string {
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
