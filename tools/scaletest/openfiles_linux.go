package scaletest

import "syscall"

const (
	// defaultOpenFiles is how many files a process may usually have open.
	defaultOpenFiles = 1024
	// unlimitedOpenFiles stands for no limit.
	unlimitedOpenFiles = 1 << 30
)

// openFiles is how many files a process may have open.
func openFiles() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return defaultOpenFiles
	}
	return int(min(limit.Cur, unlimitedOpenFiles))
}
