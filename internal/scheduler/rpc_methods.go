package scheduler

// The net/rpc methods that a scheduler calls. Their names are the wire format; where that
// keeps an older word, the constant has the term.
const (
	// Of a machine's owner (messages in agentapi).
	methodSample          = "Agent.Sample"     // machines with capacity
	methodCommit          = "Agent.Commit"     // bind tasks to a machine
	methodResolve         = "Agent.Void"       // make unanswered commits harmless
	methodStop            = "Agent.Stop"       // stop attempts, or forget ended ones
	methodAttribute       = "Agent.Judge"      // what failures are attributed to
	methodListPreemptible = "Agent.Clearable"  // machines on which tasks can be preempted
	methodPreempt         = "Agent.Clear"      // preempt them
	methodListReservable  = "Agent.Gatherable" // machines that have capacity soon
	methodReserve         = "Agent.Gather"     // reserve it

	// Of the leader (messages in autoscaler and quota).
	methodDemand = "Steward.Demand" // for what the jobs need machines
	methodQuota  = "Steward.Permit" // quota grants
)
