package logline

// Rename maps a log message of the former version to the current one.
type Rename struct {
	Old  string            // message in the former version
	New  string            // current message; equal to Old if only keys changed
	Keys map[string]string // former attribute key -> current key; keys that are not listed are unchanged
}

// Renames lists every message of the module, grouped by the packages that log it.
var Renames = []Rename{
	// gateway
	{Old: "submission undecided", New: "submission outcome unknown"},
	{Old: "query undecided", New: "job query outcome unknown"},
	{Old: "job accepted", New: JobAccepted, Keys: map[string]string{
		"due_s":    "deadline_s",
		"slot":     "job_shard",
		"waits_on": "dependencies",
	}},
	{Old: "cancellation told", New: "cancellation acknowledged", Keys: map[string]string{
		"after_ms": "latency_ms",
	}},
	{Old: "telling an owner of a cancellation", New: "cancellation delivery to machine owner failed"},
	{Old: "asking for late boots", New: "overdue provisioning query failed"},

	// machine, clusteragent, scheduler, statekv: no former message
	{Old: "state mirror loaded", New: "state mirror loaded"},
	{Old: "worker lease expired", New: "worker lease expired"},
	{Old: "task gone from machine", New: "task gone from machine"},
	{Old: "task starts sent", New: TaskStartsSent},
	{Old: "fencing token raised for forgets", New: "fencing token raised for forgets"},
	{Old: "commands rejected by worker", New: "commands rejected by worker"},
	{Old: "task attempt gone", New: "task attempt gone"},
	{Old: "task attempt superseded", New: "task attempt superseded"},

	// invariant
	{Old: "invariant violated", New: InvariantViolated},

	// scheduler
	{Old: "job fails on every machine", New: "job failing on all machines"},
	{Old: "job is well after all", New: "job failure cleared"},
	{Old: "judging machines", New: "machine health report to owner failed"},
	{Old: "recording finished tasks", New: "completed tasks write failed"},
	{Old: "job record", New: "job record unusable"},
	{Old: "taking up a job", New: "job load failed"},
	{Old: "job cancelled", New: JobCancelled},
	{Old: "job ready", New: JobDependenciesSatisfied, Keys: map[string]string{"after": "elapsed"}},
	{Old: "job withdrawn", New: JobCancelledByDependency, Keys: map[string]string{"because": "dependency"}},
	{Old: "job complete", New: JobCompleted},
	{Old: "room is gathered", New: "backfill reservation complete"},
	{Old: "keeping a machine", New: "machine reservation failed"},
	{Old: "sampling", New: "sampling request failed"},
	{Old: "asking for permits", New: "quota request failed"},
	{Old: "telling the steward the demand", New: "demand report to leader failed"},
	{Old: "task committed", New: TaskCommitted, Keys: map[string]string{
		"verdict": "result",
		"image":   "image_cached",
	}},
	{Old: "task ended", New: "task attempt ended"},
	{Old: "stopping tasks", New: "task stop request failed"},
	{Old: "making a slot", New: "job shard creation failed", Keys: map[string]string{"slot": "job_shard"}},
	{Old: "slot taken", New: "job shard acquired", Keys: map[string]string{"slot": "job_shard"}},
	{Old: "taking slots", New: "job shard acquisition failed"},
	{Old: "loading the jobs of slots", New: "job shard load failed"},
	{Old: "slot waits for machines to be checked", New: "job shard reconciliation pending", Keys: map[string]string{
		"slot": "job_shard",
		"one":  "machine",
		"why":  "reason",
	}},
	{Old: "slot settled", New: "job shard reconciled", Keys: map[string]string{
		"slot":  "job_shard",
		"after": "elapsed",
	}},
	{Old: "telling the steward of a settled slot", New: "job shard reconciliation report to leader failed"},
	{Old: "removing slots without jobs", New: "empty job shard removal failed", Keys: map[string]string{
		"slots": "job_shards",
	}},

	// clusteragent, machine, changefeed
	{Old: "taking shards", New: "machine shard acquisition failed"},
	{Old: "shard taken", New: "machine shard acquired", Keys: map[string]string{
		"shard": "machine_shard",
		"from":  "previous_owner",
		"rev":   "revision",
		"why":   "reason",
	}},
	{Old: "making shards", New: "machine shard creation failed"},
	{Old: "empty shards removed", New: "empty machine shards removed", Keys: map[string]string{
		"shards": "machine_shards",
	}},
	{Old: "claiming machines", New: "machine claim failed"},
	{Old: "machine up", New: MachineRegistered},
	{Old: "machine owned", New: "machine ownership acquired", Keys: map[string]string{"rev": "revision"}},
	{Old: "machine has a new owner", New: "machine ownership lost"},
	{Old: "machines gone", New: "machines deregistered"},
	{Old: "removing keys of machines", New: "machine key removal failed"},
	{Old: "task stopped, for nobody can tell whether its job goes on", New: "orphaned task stopped"},
	{Old: "reading jobs' records", New: "job records read failed"},
	{Old: "machine is being cleared", New: "preempting tasks for gang", Keys: map[string]string{
		"for":     "job",
		"stopped": "preempted",
	}},
	{Old: "following an agent", New: "machine state watch failed"},
	{Old: "workers are called in", New: "heartbeats solicited"},
	{Old: "a report is refused", New: "heartbeat rejected", Keys: map[string]string{
		"why":    "reason",
		"tenure": "epoch",
		"serial": "sequence",
	}},
	{
		Old: "machine answers commands, and its reports do not come",
		New: "machine heartbeats missing",
		Keys: map[string]string{
			"for_s": "duration_s",
		},
	},
	{Old: "machine is silent", New: MachineUnresponsive, Keys: map[string]string{"for_s": "duration_s"}},
	{Old: "command unanswered", New: "command outcome unknown"},
	{
		Old: "machine reports, and commands do not reach it",
		New: "machine commands undeliverable",
		Keys: map[string]string{
			"commands": "failed_commands",
		},
	},
	{Old: "fetches seen", New: "image fetch contention estimated", Keys: map[string]string{
		"sharing": "contention",
	}},
	{Old: "task over", New: TaskFinished, Keys: map[string]string{
		"saved":         "checkpointed",
		"wait_s":        "gang_wait_s",
		"save_s":        "checkpoint_s",
		"saves_every_s": "checkpoint_interval_s",
	}},
	{Old: "machine is faulty", New: "machine quarantined", Keys: map[string]string{
		"jobs_that_run_well_elsewhere": "jobs_succeeding_elsewhere",
	}},

	// rollout
	{
		Old: "the fleet's level cannot be read; going on at the former one",
		New: "cluster version undecodable, keeping the previous one",
		Keys: map[string]string{
			"level": "cluster_version",
		},
	},
	{Old: "level not raised", New: "cluster version raise failed", Keys: map[string]string{
		"to": "cluster_version",
	}},
	{Old: "level changed", New: "cluster version changed", Keys: map[string]string{"to": "cluster_version"}},
	{Old: "level does not rise", New: "cluster version raise blocked", Keys: map[string]string{
		"why": "reason",
	}},
	{Old: "refusing a life", New: "controller rejection failed"},
	{Old: "a controller that must not join is refused", New: "controller rejected", Keys: map[string]string{
		"level": "cluster_version",
		"lacks": "missing_features",
	}},
	{Old: "roll-out", New: "rollout command applied", Keys: map[string]string{
		"verb":  "command",
		"level": "cluster_version",
		"why":   "reason",
	}},
	{Old: "moving stored values", New: "stored value migration failed"},
	{Old: "stored values moved", New: "stored values migrated", Keys: map[string]string{
		"move":   "migration",
		"looked": "scanned",
		"moved":  "migrated",
		"bad":    "undecodable",
	}},

	// dag, tombstone
	{Old: "a job that others wait for has no record yet", New: "dependency record missing"},
	{Old: "reading the record of a job that others wait for", New: "dependency record read failed"},
	{Old: "sweeping what jobs left", New: "garbage collection of job state failed"},

	// leader
	{Old: "steward", New: "leader elected"},
	{Old: "steward's ledger settled", New: "quota ledger reconciled"},
	{Old: "boot is too late", New: "provisioning overdue"},
	{Old: "machines do not come up", New: "machine provisioning stalled", Keys: map[string]string{
		"booting": "provisioning",
	}},
	{Old: "reading machine types", New: "machine types read failed"},
	{Old: "listing machines", New: "machine list read failed"},
	{Old: "storing machine types", New: "machine types write failed"},
	{Old: "price", New: MachineTypePrice},
	{Old: "machine lost", New: "machine lost", Keys: map[string]string{"why": "reason"}},
	{Old: "fleet", New: "cluster summary", Keys: map[string]string{
		"booting":           "provisioning",
		"empty":             "idle",
		"empty_planned_for": "idle_reserved",
		"gpus_left":         "free_gpus",
		"tasks_waiting":     "tasks_pending",
	}},
	{Old: "rental unanswered", New: "scale-out outcome unknown"},
	{Old: "rented", New: ScaledOut, Keys: map[string]string{"wanted": "requested", "got": "granted"}},
	{Old: "draining machines", New: "machine drain failed"},
	{Old: "deleting machines", New: "scale-in failed", Keys: map[string]string{"names": "machines"}},
	{Old: "returned", New: ScaledIn},
	{Old: "telling an owner of deleted machines", New: "machine deletion report to owner failed"},

	// statekv, gateway, rollout
	{Old: "a value cannot be read; it is left as it is", New: "stored value undecodable, kept unchanged"},
	{
		Old: "the state service takes no transaction as large",
		New: "state transaction size limit lowered",
		Keys: map[string]string{
			"changes": "operations",
		},
	},
	{Old: "state service refused", New: "state request rejected"},
	{Old: "watch failed", New: "state watch failed"},
	{Old: "renewing the state lease", New: "state lease renewal failed"},

	// controller, peer, recovery
	{Old: "life begun", New: "controller session started"},
	{Old: "life ended", New: "controller session ended"},
	{Old: "asking for a part of the changes", New: "write budget request failed"},
	{Old: "stood still while the clocks ran on", New: "process paused", Keys: map[string]string{
		"for": "duration",
	}},
	{Old: "accepting a peer", New: "peer connection accept failed"},
	{Old: "serving again", New: "recovery step completed", Keys: map[string]string{"after": "elapsed"}},
}
