package cloud

import "sync"

// Catalogue holds the machine types that the cloud returned last. The zero value is empty.
type Catalogue struct {
	mu    sync.Mutex // guards types; the map is replaced, never changed
	types map[string]MachineType
}

// Set replaces all machine types.
func (c *Catalogue) Set(types []MachineType) {
	byName := make(map[string]MachineType, len(types))
	for _, machineType := range types {
		byName[machineType.Name] = machineType
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.types = byName
}

// Types returns the machine types by name. The caller must not change the map.
func (c *Catalogue) Types() map[string]MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.types
}
