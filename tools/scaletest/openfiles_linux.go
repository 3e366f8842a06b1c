package scaletest

import "syscall"

const (
	// defaultOpenFileLimit is the usual limit of a process; it is assumed if the limit cannot be
	// read.
	defaultOpenFileLimit = 1024
	// maxOpenFileLimit caps the returned limit, so that an unlimited process has a limit that fits
	// an int.
	maxOpenFileLimit = 1 << 30
)

// openFileLimit returns how many files a process may have open.
func openFileLimit() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return defaultOpenFileLimit
	}
	return int(min(limit.Cur, maxOpenFileLimit))
}
