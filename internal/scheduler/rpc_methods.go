package scheduler

// The net/rpc methods that a scheduler calls. The method names are the wire format and therefore
// keep older terms; the constants use the current terms.
const (
	// Methods of the owner of a machine; the messages are in agentapi.
	methodSample          = "Agent.Sample"     // list machines with capacity
	methodCommit          = "Agent.Commit"     // bind tasks to a machine
	methodResolve         = "Agent.Void"       // ensure that unanswered commits start no further tasks
	methodStop            = "Agent.Stop"       // stop attempts, or forget ended attempts
	methodAttribute       = "Agent.Judge"      // report failure attributions
	methodListPreemptible = "Agent.Clearable"  // list machines on which tasks can be preempted
	methodPreempt         = "Agent.Clear"      // preempt tasks and reserve the machine
	methodListReservable  = "Agent.Gatherable" // list machines that will soon have capacity
	methodReserve         = "Agent.Gather"     // reserve capacity as it comes free

	// Methods of the leader; the messages are in autoscaler and quota.
	methodDemand = "Steward.Demand" // report which jobs need machines
	methodQuota  = "Steward.Permit" // request and release quota grants
)
