//go:build !linux

package scaletest

// openFiles is how many files a process may have open, as far as it can be known.
func openFiles() int { return 1024 }
