package scaletest

import "syscall"

// openFiles is how many files a process may have open.
func openFiles() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 1024
	}
	return int(min(limit.Cur, 1<<30))
}
