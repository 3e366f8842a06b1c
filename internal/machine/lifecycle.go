package machine

// Lifecycle is the stage of a machine on its way out of the cluster. It only advances, except that
// a drain can be cancelled. Reconciliation, responsiveness and quarantine are independent of it.
type Lifecycle int

// Stages of a machine, in order.
const (
	// Serving machines may get tasks.
	Serving Lifecycle = iota
	// Draining machines get no new tasks.
	Draining
	// Deleted machines have been deleted in the cloud, but their keys still exist.
	Deleted
	// Deregistered machines are deregistered: their keys have been removed.
	Deregistered
)

// lifecycleEvent is an event that can change a machine's stage.
type lifecycleEvent int

const (
	drainStarted lifecycleEvent = iota
	drainCancelled
	deleted
	deregistered
)

// next returns the stage after an event. An event that does not apply to the present stage leaves
// it unchanged.
func (l Lifecycle) next(event lifecycleEvent) Lifecycle {
	switch {
	case event == deregistered:
		return Deregistered
	case l >= Deleted:
		return l
	case event == deleted:
		return Deleted
	case event == drainStarted:
		return Draining
	default:
		return Serving
	}
}
