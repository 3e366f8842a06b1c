package config

// Team holds the guaranteed resources and the quota of a team. 0 means no guarantee or no quota.
type Team struct {
	Name           string  `json:"name"`
	GuaranteedCPUs float64 `json:"cpus"`
	CPUQuota       float64 `json:"cpus_max"`
	GuaranteedGPUs float64 `json:"gpus"`
	GPUQuota       float64 `json:"gpus_max"`
}

func (t Team) guaranteed() bool { return t.GuaranteedCPUs > 0 || t.GuaranteedGPUs > 0 }

// Unguaranteed reports whether a team has no guaranteed resources while another team has some.
func (s *Settings) Unguaranteed(team string) bool {
	for _, other := range s.Teams {
		if other.guaranteed() {
			return !s.Teams[team].guaranteed()
		}
	}
	return false
}

// HasQuota reports whether a team has a quota that limits its tasks.
func (s *Settings) HasQuota(team string) bool {
	t := s.Teams[team]
	return t.CPUQuota > 0 || t.GPUQuota > 0
}
