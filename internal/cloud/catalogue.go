package cloud

import "sync"

// Catalogue holds the machine types that the cloud named last. The zero value is empty.
type Catalogue struct {
	mu    sync.Mutex // guards types; the map itself is replaced, never changed
	types map[string]MachineType
}

// Set replaces the types.
func (c *Catalogue) Set(types []MachineType) {
	byName := make(map[string]MachineType, len(types))
	for _, machineType := range types {
		byName[machineType.Name] = machineType
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.types = byName
}

// Types returns the types by name; the map must not be changed.
func (c *Catalogue) Types() map[string]MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.types
}
