//go:build !linux

package devcluster

// Pause does nothing on this system and returns false.
func (c *Controllers) Pause(int) bool { return false }

// Resume does nothing on this system and returns false.
func (c *Controllers) Resume(int) bool { return false }
