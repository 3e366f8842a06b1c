package cloud

import "sync"

// Catalogue holds the machine types last heard of.
type Catalogue struct {
	mu    sync.Mutex
	types map[string]MachineType
}

// Set replaces the types.
func (c *Catalogue) Set(types []MachineType) {
	m := make(map[string]MachineType, len(types))
	for _, t := range types {
		m[t.Name] = t
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.types = m
}

// Types returns the types by name; the map must not be changed.
func (c *Catalogue) Types() map[string]MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.types
}
