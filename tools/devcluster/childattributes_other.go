//go:build !linux

package devcluster

import "syscall"

// ChildProcessAttributes puts a child process into its own process group, so that an interrupt from
// the terminal does not reach it and the parent stops the processes in its own order.
func ChildProcessAttributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
