//go:build !linux

package dev

import "syscall"

// own keeps a process apart from the terminal's interrupt, which ends the fleet in its
// own order.
func own() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
