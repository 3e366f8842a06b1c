package machine

import "robinstack/internal/job"

// usage is the resources that the machine's tasks use. It is cached until the next change, because
// sampling looks at many machines, of which few have changed.
type usage struct {
	valid      bool
	need       job.Resources // of all tasks whose need is known
	needsKnown bool          // whether the needs of all tasks are known
	occupied   bool          // whether any task occupies capacity
}

// invalidateUsage discards the cached usage and calls OnUsageChange.
func (m *Machine) invalidateUsage() {
	m.usage.valid = false
	if m.OnUsageChange != nil {
		m.OnUsageChange()
	}
}

func (m *Machine) currentUsage() usage {
	if m.usage.valid {
		return m.usage
	}
	u := usage{valid: true, needsKnown: true}
	for _, t := range m.tasks {
		if !t.Occupies() {
			continue
		}
		u.occupied = true
		if t.Spec == nil {
			u.needsKnown = false
			continue
		}
		u.need = u.need.AddScaled(t.Spec.Need, 1)
	}
	m.usage = u
	return u
}

// FreeCapacity returns the part of capacity that the machine's tasks leave free. known is false
// while the need of any task is unknown.
func (m *Machine) FreeCapacity(capacity job.Resources) (free job.Resources, known bool) {
	u := m.currentUsage()
	return capacity.AddScaled(u.need, -1), u.needsKnown
}

// Occupied reports whether any task occupies capacity.
func (m *Machine) Occupied() bool {
	for _, t := range m.tasks {
		if t.Occupies() {
			return true
		}
	}
	return false
}
