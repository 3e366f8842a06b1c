package machine

import "robinstack/internal/job"

// usage is what the tasks take. It is added up once after each change: sampling looks at many
// machines, of which few have changed.
type usage struct {
	valid    bool
	need     job.Resources // in all
	known    bool          // whether all tasks' needs are
	occupied bool          // whether there are any tasks
}

// usageChanged has what is free worked out anew.
func (m *Machine) usageChanged() {
	m.usage.valid = false
	if m.OnUsageChange != nil {
		m.OnUsageChange()
	}
}

func (m *Machine) currentUsage() usage {
	if m.usage.valid {
		return m.usage
	}
	u := usage{valid: true, known: true}
	for _, t := range m.tasks {
		if !t.Occupies() {
			continue
		}
		u.occupied = true
		if t.Spec == nil {
			u.known = false
			continue
		}
		u.need = u.need.AddScaled(t.Spec.Need, 1)
	}
	m.usage = u
	return u
}

// FreeCapacity is what is free of a capacity; known is false while a task's needs are unknown.
func (m *Machine) FreeCapacity(capacity job.Resources) (free job.Resources, known bool) {
	u := m.currentUsage()
	return capacity.AddScaled(u.need, -1), u.known
}

// Occupied reports whether there are tasks that have not ended.
func (m *Machine) Occupied() bool {
	for _, t := range m.tasks {
		if t.Occupies() {
			return true
		}
	}
	return false
}
