//go:build !linux

package devcluster

import "syscall"

// ChildAttributes keeps a process apart from the terminal's interrupt, which ends the
// cluster in its own order.
func ChildAttributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
