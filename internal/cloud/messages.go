package cloud

import "time"

// MachineType describes the capacity, prices and zones of a machine type.
type MachineType struct {
	Name          string   `json:"label"`
	CPUs          float64  `json:"cpus"`
	GPUs          float64  `json:"gpus"`
	MemoryGB      float64  `json:"mem_gb"`
	CacheGB       float64  `json:"local_gb"` // disk space for cached images
	FetchGBPerS   float64  `json:"pull_gb_per_s"`
	OnDemandPrice float64  `json:"hourly"`    // per hour
	SpotPrice     float64  `json:"low_price"` // per hour; changes over time
	ProvisioningS float64  `json:"startup_s"`
	Zones         []string `json:"sites"`
}

// ProvisioningTime returns the usual time from the request for a machine to its first heartbeat.
func (t MachineType) ProvisioningTime() time.Duration {
	return time.Duration(t.ProvisioningS * float64(time.Second))
}

// HourlyPrice returns the current price per hour of a spot or an on-demand machine.
func (t MachineType) HourlyPrice(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// Machine is an entry of the cloud's list of machines.
type Machine struct {
	Name    string  `json:"id"`
	Address string  `json:"addr"`
	Type    string  `json:"host_kind"`
	Zone    string  `json:"site"`
	Spot    bool    `json:"loaners"`
	Status  string  `json:"status"`
	AgeS    float64 `json:"age_s"` // seconds from the request for the machine to the time of the list
}

// ScaleOutRequest requests machines. A repeated request with the same ID returns the same machines,
// so an ID must not be reused for a different request.
type ScaleOutRequest struct {
	RequestID string `json:"hire"`
	Type      string `json:"host_kind"`
	Zone      string `json:"site"`
	Spot      bool   `json:"loaners"`
	Count     int    `json:"how_many"`
}
