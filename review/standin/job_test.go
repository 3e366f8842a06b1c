package standin

import "time"

// jobSpec is a submission as the users send it, with the run time of its tasks, which only the
// workers know.
type jobSpec struct {
	ID              string   `json:"id"`
	Class           string   `json:"job_class"`
	Owner           string   `json:"owner"`
	Shape           string   `json:"shape"`
	Rank            string   `json:"rank"`
	Pieces          int      `json:"pieces"`
	CPUs            float64  `json:"cpus"`
	GPUs            float64  `json:"gpus"`
	MemoryGB        float64  `json:"mem_gb"`
	Bundle          string   `json:"bundle"`
	PullGB          float64  `json:"pull_gb"`
	HostKinds       []string `json:"host_kinds"`
	Site            *string  `json:"site"`
	OneZone         bool     `json:"one_zone"`
	Spread          bool     `json:"spread"`
	Loaners         bool     `json:"loaners"`
	GuessS          float64  `json:"guess_s"`
	SnapshotEveryS  float64  `json:"snapshot_every_s"`
	SnapshotS       float64  `json:"snapshot_s"`
	DueS            *float64 `json:"due_s"`
	WaitsOn         []string `json:"waits_on,omitempty"`
	runTime         time.Duration
	completedPieces map[string]bool // guarded by fleet.mu
}

// The shape of jobs whose tasks run all together.
const gang = "gang"
