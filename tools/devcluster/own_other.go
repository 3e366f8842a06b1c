//go:build !linux

package dev

import "syscall"

// ChildAttributes keeps a process apart from the terminal's interrupt, which ends the fleet in its
// own order.
func ChildAttributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
