package machine

// Lifecycle is how far a machine is on its way out of the fleet. It only advances, but for a
// drain that is called off. Whether the machine is reconciled, responsive or quarantined is
// independent of it.
type Lifecycle int

// Stages of a machine, in their order.
const (
	// Serving machines may get tasks.
	Serving Lifecycle = iota
	// Draining machines get no new tasks.
	Draining
	// Removing machines have been deleted by the cloud; their key is left.
	Removing
	// Gone machines have no key any more.
	Gone
)

// lifecycleEvent is what moves a machine from one stage to another.
type lifecycleEvent int

const (
	drainBegan lifecycleEvent = iota
	drainEnded
	deleted
	deregistered
)

// after is the stage that follows an event. Events that a stage has passed change nothing.
func (l Lifecycle) after(event lifecycleEvent) Lifecycle {
	switch {
	case event == deregistered:
		return Gone
	case l >= Removing:
		return l
	case event == deleted:
		return Removing
	case event == drainBegan:
		return Draining
	default:
		return Serving
	}
}
