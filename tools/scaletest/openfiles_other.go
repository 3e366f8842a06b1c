//go:build !linux

package scaletest

// openFileLimit returns a usual limit of open files of a process; the actual limit is not read on
// this system.
func openFileLimit() int { return 1024 }
