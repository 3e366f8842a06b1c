package devcluster

import "time"

// What the settings say of the deployment that more than one place goes by.
const (
	heartbeatInterval    = time.Second
	leaseDuration        = 8 * time.Second
	cancellationDeadline = 20 * time.Second // within which all is over after a cancellation
)

// announcedLimits are limits of the state service that the settings announce for later.
type announcedLimits struct {
	TxnOps   int `json:"txn_ops"`
	ValueKB  int `json:"value_kb"`
	WriteRPS int `json:"write_rps"`
}

var limitsToCome = announcedLimits{TxnOps: 8, ValueKB: 2, WriteRPS: 55}

// deployment is what the settings say of this deployment, as their file has it.
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
		"state":        map[string]any{"rps": 200, "write_rps": 75, "value_kb": 8, "txn_ops": 24, "next": limitsToCome},
		"cloud":        map[string]float64{"rps": 20, "list_lag_s": 1},
		"clock_off_ms": 10,
		"quota":        map[string]float64{"cores": 1, "memory_mb": 512, "max_connections": 2000},
	}
}
