package devcluster

import "time"

// Values of the settings that this package also uses elsewhere.
const (
	heartbeatInterval    = time.Second
	leaseDuration        = 8 * time.Second
	cancellationDeadline = 20 * time.Second // bounds the time from a cancellation until it has fully taken effect
)

// stateServiceLimits are lower limits of the state service that the settings announce for a later
// date.
type stateServiceLimits struct {
	TxnOps   int `json:"txn_ops"`
	ValueKB  int `json:"value_kb"`
	WriteRPS int `json:"write_rps"`
}

var nextLimits = stateServiceLimits{TxnOps: 8, ValueKB: 2, WriteRPS: 55}

// deployment returns the "facts" object of the settings file, which describes the deployment.
func deployment(controllers int) any {
	return map[string]any{
		"size":       controllers,
		"zones":      zones,
		"teams":      []map[string]any{{"name": "crew", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 0}},
		"objectives": []map[string]any{{"kind": "wait", "class": "try", "within_s": 10, "share": 0.9}},
		"workers": map[string]float64{
			"report_s":    heartbeatInterval.Seconds(),
			"lease_s":     leaseDuration.Seconds(),
			"gang_wait_s": 20,
			"gang_peer_s": 3,
			"cancel_s":    cancellationDeadline.Seconds(),
		},
		"state":        map[string]any{"rps": 200, "write_rps": 75, "value_kb": 8, "txn_ops": 24, "next": nextLimits},
		"cloud":        map[string]float64{"rps": 20, "list_lag_s": 1},
		"clock_off_ms": 10,
		"quota":        map[string]float64{"cores": 1, "memory_mb": 512, "max_connections": 2000},
	}
}
