package cloud

import "time"

// MachineType describes a kind of machine.
type MachineType struct {
	Name          string   `json:"label"`
	CPUs          float64  `json:"cpus"`
	GPUs          float64  `json:"gpus"`
	MemoryGB      float64  `json:"mem_gb"`
	CacheGB       float64  `json:"local_gb"` // for images
	FetchGBPerS   float64  `json:"pull_gb_per_s"`
	OnDemandPrice float64  `json:"hourly"`    // for an hour
	SpotPrice     float64  `json:"low_price"` // for an hour, as of now
	ProvisioningS float64  `json:"startup_s"`
	Zones         []string `json:"sites"`
}

// ProvisioningTime is the usual time from the request until the machine's worker reports.
func (t MachineType) ProvisioningTime() time.Duration {
	return time.Duration(t.ProvisioningS * float64(time.Second))
}

// HourlyPrice is the current price of an on-demand or a spot machine.
func (t MachineType) HourlyPrice(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// Machine is a machine as the cloud lists it.
type Machine struct {
	Name    string  `json:"id"`
	Address string  `json:"addr"`
	Type    string  `json:"host_kind"`
	Zone    string  `json:"site"`
	Spot    bool    `json:"loaners"`
	Status  string  `json:"status"`
	AgeS    float64 `json:"age_s"` // since the request for it, as of the time of the list
}

// ScaleOutRequest asks for machines. Repeated under its ID it gives the same machines, so that an
// ID must never be used for another request.
type ScaleOutRequest struct {
	RequestID string `json:"hire"`
	Type      string `json:"host_kind"`
	Zone      string `json:"site"`
	Spot      bool   `json:"loaners"`
	Count     int    `json:"how_many"`
}
